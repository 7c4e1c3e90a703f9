#include "config_relay_p.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sequoiastage {

namespace {

// Number of nodes that read the log in each failure domain.
constexpr int kLogReadersPerDomain = 3;
constexpr std::chrono::milliseconds kCheckInterval{300};
constexpr std::chrono::seconds kReplyTimeout{2};

uint64_t ReaderRank(NodeId node) {
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
                   m_reply_deadline = {};
                   m_feed->ApplyPeerReply(*reply);
                 }
               },
           .m_on_connect_failed =
               [this](NodeId, const std::vector<Message>&) {
                 m_reply_deadline = {};
               },
           .m_on_lost = [this](NodeId,
                               const std::string&) { m_reply_deadline = {}; }}),
      m_options(options),
      m_random(options.m_incarnation.Get()) {}

void ConfigRelay::OnTick(TimePoint now) {
  if (now < m_next_check) {
    return;
  }
  m_next_check = now + kCheckInterval;
  const bool is_log_reader = ShouldReadLog();
  m_feed->SetIsLogReader(is_log_reader);
  if (now < m_reply_deadline || (is_log_reader && m_feed->IsLogReachable())) {
    return;
  }
  if (const auto peer = PickPeerAhead()) {
    RequestConfig(*peer, now);
  }
}

bool ConfigRelay::ShouldReadLog() const {
  const MemberEntry& own = m_membership->LocalEntry();
  const uint64_t own_rank = ReaderRank(own.m_node);
  int lower_ranked = 0;
  for (const MemberView& view : m_membership->Members()) {
    const MemberEntry& member = *view.m_entry;
    const bool is_eligible = !view.m_unreachable &&
                             member.m_state == HostState::kLive &&
                             member.m_failure_domain == own.m_failure_domain;
    lower_ranked += is_eligible && ReaderRank(member.m_node) < own_rank ? 1 : 0;
  }
  return lower_ranked < kLogReadersPerDomain;
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

void ConfigRelay::RequestConfig(NodeId peer, TimePoint now) {
  m_reply_deadline = now + kReplyTimeout;
  m_links.Send(peer, ConfigRequestMessage{
                         .m_attempt = {.m_ingress = m_options.m_local_node,
                                       .m_incarnation = m_options.m_incarnation,
                                       .m_counter = ++m_last_request},
                         .m_start_offset = m_feed->Version()});
}

}  // namespace sequoiastage
