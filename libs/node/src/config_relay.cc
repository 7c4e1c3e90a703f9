#include "config_relay_p.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sequoiastage {

namespace {

// Nodes of a failure domain that read the log.
constexpr int kReaders = 3;
constexpr std::chrono::milliseconds kLookInterval{300};
constexpr std::chrono::seconds kAnswerTime{2};

uint64_t RankOf(NodeId node) {
  return std::hash<Endpoint>()(node.Get());
}

}  // namespace

ConfigRelay::ConfigRelay(asio::io_context& io,
                         const PeerLinks::Options& options,
                         const Membership* membership,
                         ConfigFeed* feed)
    : m_membership(membership),
      m_feed(feed),
      m_links(
          io,
          options,
          {.m_on_message =
               [this](NodeId /*from*/, const Message& message) {
                 if (const auto* reply =
                         std::get_if<ConfigReplyMessage>(&message)) {
                   m_answer_until = {};
                   m_feed->TakeFromPeer(*reply);
                 }
               },
           .m_on_connect_failed =
               [this](NodeId, const std::vector<Message>&) {
                 m_answer_until = {};
               },
           .m_on_lost = [this](NodeId,
                               const std::string&) { m_answer_until = {}; }}),
      m_options(options),
      m_random(options.m_incarnation.Get()) {}

void ConfigRelay::OnTick(TimePoint now) {
  if (now < m_next_look) {
    return;
  }
  m_next_look = now + kLookInterval;
  const bool is_reader = IsOwnReader();
  m_feed->SetReader(is_reader);
  if (now < m_answer_until || (is_reader && m_feed->IsLogReachable())) {
    return;
  }
  if (const auto peer = PickPeerAhead()) {
    Ask(*peer, now);
  }
}

bool ConfigRelay::IsOwnReader() const {
  const MemberEntry& own = m_membership->LocalEntry();
  const uint64_t own_rank = RankOf(own.m_node);
  int before = 0;
  for (const MemberView& view : m_membership->Members()) {
    const MemberEntry& member = *view.m_entry;
    const bool counts = !view.m_unreachable &&
                        member.m_state == HostState::kLive &&
                        member.m_failure_domain == own.m_failure_domain;
    before += counts && RankOf(member.m_node) < own_rank ? 1 : 0;
  }
  return before < kReaders;
}

std::optional<NodeId> ConfigRelay::PickPeerAhead() {
  const MemberEntry& own = m_membership->LocalEntry();
  std::vector<NodeId> near;
  std::vector<NodeId> far;
  for (const MemberView& view : m_membership->Members()) {
    const MemberEntry& member = *view.m_entry;
    if (view.m_unreachable || member.m_state == HostState::kLeft ||
        member.m_config_version <= m_feed->Version()) {
      continue;
    }
    const bool is_near = member.m_failure_domain == own.m_failure_domain;
    (is_near ? near : far).push_back(member.m_node);
  }
  const std::vector<NodeId>& choices = near.empty() ? far : near;
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[m_random() % choices.size()];
}

void ConfigRelay::Ask(NodeId peer, TimePoint now) {
  m_answer_until = now + kAnswerTime;
  m_links.Send(peer, ConfigRequestMessage{
                         .m_attempt = {.m_ingress = m_options.m_own,
                                       .m_incarnation = m_options.m_incarnation,
                                       .m_counter = ++m_last_request},
                         .m_start_offset = m_feed->Version()});
}

}  // namespace sequoiastage
