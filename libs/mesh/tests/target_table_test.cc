#include "sequoiastage/mesh/target_table.h"

#include <gtest/gtest.h>
#include <pthread.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "sequoiastage/mesh/shared_quarantine.h"
#include "sequoiastage/testing/mutate.h"

namespace sequoiastage {
namespace {

NodeId Node(uint8_t number) {
  return NodeId(Endpoint{.m_ip = number, .m_port = 7000});
}

MemberRecord Record(uint8_t number, std::string_view service) {
  return {.m_node = Node(number),
          .m_domain = "d",
          .m_region = "r",
          .m_instance = "i-" + std::to_string(number),
          .m_service = MakeServiceId(service),
          .m_slots = 3};
}

PeerKey Process(uint8_t node, uint64_t incarnation) {
  return {.m_node = Node(node), .m_incarnation = Incarnation(incarnation)};
}

// The record that a process of the node writes.
MemberRecord RecordOf(uint8_t node, Incarnation process) {
  MemberRecord record = Record(node, "plans");
  record.m_incarnation = process;
  return record;
}

size_t CountCandidates(const TargetTable& targets, std::string_view service) {
  return targets
      .Candidates(MakeServiceId(service), TimePoint{},
                  [](NodeId) { return true; })
      .size();
}

TEST(TargetTableTest, CandidatesFollowServiceChanges) {
  TargetTable targets(Record(1, "plans"));
  targets.SetMember(Record(2, "plans"));
  targets.SetMember(Record(3, "plans"));
  targets.SetMember(Record(3, "plans"));
  EXPECT_EQ(CountCandidates(targets, "plans"), 2U);
  EXPECT_EQ(targets.InstanceCount(MakeServiceId("plans")), 2U);
  targets.SetMember(Record(3, "bookings"));
  EXPECT_EQ(CountCandidates(targets, "plans"), 1U);
  EXPECT_EQ(CountCandidates(targets, "bookings"), 1U);
  MemberRecord without = Record(3, "bookings");
  without.m_instance.clear();
  targets.SetMember(without);
  EXPECT_EQ(CountCandidates(targets, "bookings"), 0U);
  EXPECT_EQ(targets.InstanceCount(MakeServiceId("bookings")), 0U);
}

TEST(TargetTableTest, LeavingNodesAreCountedButAreNotCandidates) {
  TargetTable targets(Record(1, "plans"));
  targets.SetMember(RecordOf(2, Incarnation(7)));
  EXPECT_TRUE(targets.MarkNodeLeaving(Process(2, 7)));
  EXPECT_EQ(CountCandidates(targets, "plans"), 0U);
  EXPECT_EQ(targets.InstanceCount(MakeServiceId("plans")), 1U);
}

// An older build does not name the process that wrote the record.
TEST(TargetTableTest, RecordWithoutAProcessIsOfAnyUntilTheNextOne) {
  TargetTable targets(Record(1, "plans"));
  targets.SetMember(Record(2, "plans"));
  EXPECT_TRUE(targets.MarkNodeLeaving(Process(2, 7)));
  EXPECT_EQ(CountCandidates(targets, "plans"), 0U);
  targets.SetMember(Record(2, "plans"));
  EXPECT_EQ(CountCandidates(targets, "plans"), 1U);
}

// Load pattern: a rolling restart of nodes beside nodes that stand still, which
// read late what the processes sent, over several connections.
RC_GTEST_PROP(TargetTableTest,
              NodeIsUsedUnlessTheProcessOfItsNewestRecordDrains,
              ()) {
  TargetTable targets(Record(1, "plans"));
  // The newest record read, and the processes that are known to drain.
  Incarnation current(1);
  std::set<Incarnation> draining;
  targets.SetMember(RecordOf(2, current));
  const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
      rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(1, 5)));
  for (const auto& [is_record, number] : steps) {
    const Incarnation process(static_cast<uint64_t>(number));
    if (is_record) {
      // With another instance, or the one before.
      MemberRecord record = RecordOf(2, process);
      record.m_instance += std::to_string(*rc::gen::inRange(0, 2));
      targets.SetMember(record);
      current = process;
    } else {
      RC_ASSERT(targets.MarkNodeLeaving(Process(2, process.Get())) ==
                (process == current));
      draining.insert(process);
    }
    RC_ASSERT(CountCandidates(targets, "plans") ==
              (draining.contains(current) ? 0U : 1U));
    RC_ASSERT(targets.Find(Node(2))->m_is_leaving ==
              draining.contains(current));
  }
}

// A node restarts without knowing that its instance leaves, and announces it.
TEST(TargetTableTest, LeavingInstanceIsNoCandidateUntilAnotherReplacesIt) {
  TargetTable targets(Record(1, "plans"));
  MemberRecord member = Record(2, "plans");
  member.m_instance_start_ms = 100;
  targets.SetMember(member);
  targets.MarkInstanceLeaving(Node(2), member.Instance());
  EXPECT_EQ(CountCandidates(targets, "plans"), 0U);
  MemberRecord without = member;
  without.m_instance.clear();
  targets.SetMember(without);
  targets.SetMember(member);
  EXPECT_EQ(CountCandidates(targets, "plans"), 0U);
  targets.RemoveMember(Node(2));
  targets.SetMember(member);
  EXPECT_EQ(CountCandidates(targets, "plans"), 0U);
  member.m_instance_start_ms = 200;
  targets.SetMember(member);
  EXPECT_EQ(CountCandidates(targets, "plans"), 1U);
}

// An instance that limits its rate has free slots but accepts no request now.
TEST(TargetTableTest, RateLimitedInstanceCountsAsFullUntilItsWaitEnds) {
  TargetTable targets(Record(1, "plans"));
  targets.SetMember(Record(2, "plans"));
  const TimePoint now{std::chrono::hours(1)};
  targets.UpdateLoad(Node(2), {.m_slots = 3, .m_expected_wait_ms = 600}, now);
  const auto candidate_at = [&](std::chrono::milliseconds age) {
    return targets
        .Candidates(MakeServiceId("plans"), now + age,
                    [](NodeId) { return true; })
        .front();
  };
  EXPECT_EQ(candidate_at(std::chrono::milliseconds(200)).m_used_slots, 3U);
  EXPECT_EQ(candidate_at(std::chrono::milliseconds(200)).m_rate_wait,
            std::chrono::milliseconds(400));
  EXPECT_EQ(candidate_at(std::chrono::milliseconds(600)).m_used_slots, 0U);
}

// Guards against an exception that ends what follows the encoding.
RC_GTEST_PROP(MemberRecordTest,
              AnyTextCanBeEncoded,
              (const std::string& instance,
               const std::string& departed,
               const std::string& region)) {
  const MemberRecord record{.m_node = NodeId(Endpoint{.m_ip = 1, .m_port = 2}),
                            .m_domain = "d\xff",
                            .m_region = region,
                            .m_instance = instance + "\xff\xfe",
                            .m_departed = departed + "\xc3"};
  const auto decoded = DecodeMember(EncodeMember(record));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->m_node == record.m_node);
}

// Runs `task` on a thread with little stack.
void RunWithSmallStack(const std::function<void()>& task) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, size_t{256} << 10);
  pthread_t thread;
  const auto run = [](void* argument) -> void* {
    (*static_cast<const std::function<void()>*>(argument))();
    return nullptr;
  };
  ASSERT_EQ(pthread_create(&thread, &attributes, run,
                           const_cast<std::function<void()>*>(&task)),
            0);
  pthread_join(thread, nullptr);
  pthread_attr_destroy(&attributes);
}

// Guards against entries of other writers that end the process, or that are
// taken for members.
TEST(MemberRecordTest, OddRecordsAreNoMembers) {
  const auto record = [](const std::string& slots,
                         const std::string& more = "") {
    return R"({"node":"10.0.0.7:7600","domain":"d","region":"r",)"
           R"("instance":"i","service":7,"slots":)" +
           slots + more + "}";
  };
  EXPECT_TRUE(DecodeMember(record("3")));
  constexpr size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string nested_objects;
  for (size_t i = 0; i < kDepth; ++i) {
    nested_objects += R"({"a":)";
  }
  nested_objects += "1" + std::string(kDepth, '}');
  RunWithSmallStack([&] {
    for (const std::string& slots :
         {std::string("-1"), std::string("1e3"), std::string("1e999"),
          std::string("1e300"), std::string("70000"),
          std::string("99999999999999999999999"), std::string("3.5"),
          std::string("\"3\""), std::string("null"), nested}) {
      EXPECT_FALSE(DecodeMember(record(slots))) << slots.substr(0, 40);
    }
    for (const char* text :
         {"", "[", "7", "null", "[]", R"({"node":7})",
          R"({"node":"10.0.0.7:70000","domain":"d","region":"r"})",
          R"({"node":"10.0.0.7:0","domain":"d","region":"r"})",
          R"({"node":"10.0.0.700:7600","domain":"d","region":"r"})"}) {
      EXPECT_FALSE(DecodeMember(text)) << text;
    }
    for (const std::string& value :
         {nested, std::string("-1"), std::string("1e300")}) {
      EXPECT_FALSE(DecodeMember(record("3", R"(,"era":)" + value)));
      EXPECT_FALSE(
          DecodeMember(record("3", R"(,"instance_start_ms":)" + value)));
      EXPECT_FALSE(DecodeMember(record(
          "3", R"(,"executions":[{"request":1,"at_ms":)" + value + "}]")));
      EXPECT_FALSE(DecodeMember(record(
          "3", R"(,"crashes":[{"node":"10.0.0.8:7600","instance_start_ms":1,)"
               R"("at_ms":1,"running":[)" +
                   value + "]}]")));
    }
    DecodeMember(record("3", R"(,"more":)" + nested));
    DecodeMember(record("3", R"(,"more":)" + nested_objects));
    DecodeMember(std::string(kDepth, '['));
  });
}

RC_GTEST_PROP(MemberRecordTest, DamagedRecordsAreDroppedOrWellFormed, ()) {
  MemberRecord record = Record(7, "plans");
  record.m_instance_start_ms = 1'700'000'000'123;
  record.m_crashes = {
      {.m_node = Node(8),
       .m_instance_start_ms = 12,
       .m_at = WallTime(std::chrono::milliseconds(1'700'000'000'456)),
       .m_running = {RequestFingerprint(UINT64_MAX), RequestFingerprint(7)}}};
  record.m_executions = {{.m_request = RequestFingerprint(9), .m_at = {}}};
  RC_ASSERT(DecodeMember(EncodeMember(record)) == record);
  std::string text = EncodeMember(record);
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  if (const auto decoded = DecodeMember(Mutate(text, random))) {
    RC_ASSERT(DecodeMember(EncodeMember(*decoded)) == decoded);
    SharedQuarantine quarantine(Node(1), {}, [] {});
    quarantine.OnMember(*decoded, WallNow());
    quarantine.Tick(WallNow());
  }
}

}  // namespace
}  // namespace sequoiastage
