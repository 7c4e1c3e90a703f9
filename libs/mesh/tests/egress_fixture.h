#ifndef SEQUOIASTAGE_MESH_TESTS_EGRESS_FIXTURE_H_
#define SEQUOIASTAGE_MESH_TESTS_EGRESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fake_platform.h"
#include "sequoiastage/mesh/egress.h"

namespace sequoiastage {

inline constexpr PeerKey kPeer{
    .m_node = NodeId(Endpoint{.m_ip = 1, .m_port = 1}),
    .m_incarnation = Incarnation(7)};

inline constexpr NodeId kSelf{Endpoint{.m_ip = 2, .m_port = 1}};

class MeshEgressTest : public testing::Test {
 protected:
  MeshEgressTest()
      : m_instance(m_io, {.m_ip = TestIp(1), .m_port = 9000}),
        m_egress(m_io, kSelf, {}, m_quarantine, MakeHooks()) {
    m_announcement.m_name = "i-1";
    m_announcement.m_address = m_instance.m_endpoint;
    m_announcement.m_service = "plans";
    m_announcement.m_slots = 2;
    m_egress.SetInstance(&m_announcement);
  }

  Egress<FakeCodec>::Hooks MakeHooks() {
    return {.m_on_mismatch =
                [this](const InstanceIncarnation& instance) {
                  m_mismatches.push_back(instance);
                },
            .m_on_leaving =
                [this](const InstanceIncarnation& instance) {
                  m_leaving.push_back(instance);
                }};
  }

  OfferMessage MakeOffer(uint64_t number, bool is_idempotent = true) {
    OfferMessage offer{.m_attempt = AttemptNumber(number),
                       .m_service = MakeServiceId("plans"),
                       .m_instance = "i-1",
                       .m_is_idempotent = is_idempotent,
                       .m_starts_immediately = is_idempotent,
                       .m_time_left_ms = 1000,
                       .m_caller_service = "homes",
                       .m_request_id = std::to_string(number)};
    offer.m_request = MakeRequest(number);
    return offer;
  }

  static HttpRequest MakeRequest(uint64_t number) {
    return {.m_method = "POST",
            .m_target = "/x/",
            .m_fields = {{"Host", "a"}, {"id", std::to_string(number)}},
            .m_body = "b" + std::to_string(number)};
  }

  void Send(OfferMessage offer) {
    m_egress.OnOffer(kPeer, std::move(offer), Sink());
  }

  MessageSink Sink() {
    return [this](const Message& message) {
      if (const auto* reply = std::get_if<OfferReplyMessage>(&message)) {
        m_replies.push_back(*reply);
      } else if (const auto* end = std::get_if<OutcomeMessage>(&message)) {
        m_outcomes.push_back(*end);
      }
    };
  }

  // Sends one offer more than the instance has slots; it answers none. Returns
  // whether the last offer is queued.
  bool FillSlotsAndQueue() {
    m_instance.m_behavior = [](const HttpRequest&, const StreamResponder&) {
      return CancelHook();
    };
    for (uint64_t number : {1, 2, 3}) {
      OfferMessage offer = MakeOffer(number);
      offer.m_may_wait = true;
      offer.m_time_left_ms = 5000;
      Send(offer);
    }
    return m_replies.back().m_verdict == OfferVerdict::kQueued;
  }

  bool WaitForOutcomes(size_t count) {
    return RunUntil(m_io, [&] { return m_outcomes.size() >= count; });
  }

  asio::io_context m_io;
  FakeInstance m_instance;
  InstanceAnnouncement m_announcement;
  std::vector<InstanceIncarnation> m_mismatches;
  std::vector<InstanceIncarnation> m_leaving;
  SharedQuarantine m_quarantine{kSelf, {}, [] {}};
  Egress<FakeCodec> m_egress;
  std::vector<OfferReplyMessage> m_replies;
  std::vector<OutcomeMessage> m_outcomes;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TESTS_EGRESS_FIXTURE_H_
