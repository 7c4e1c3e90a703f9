#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <new>

#include "../src/datagram_p.h"

namespace sequoiastage {
namespace {

std::vector<uint8_t> SampleDatagram() {
  DatagramWriter writer({.m_from = NodeId({.m_ip = 1, .m_port = 2}),
                         .m_incarnation = Incarnation(3)});
  MemberEntry entry{.m_version = 4, .m_region = "north"};
  entry.m_instances.resize(3);
  writer.Add(Ping{.m_sequence = 5});
  writer.Add(EntryMessage{.m_entry = entry, .m_status_version = 6});
  writer.Add(BucketMessage{.m_bucket = 7, .m_items = {{}, {}}});
  writer.Add(StampMessage{.m_version = 8, .m_is_reply = true});
  writer.Add(
      GroupReportMessage{.m_service = ServiceId(9), .m_bytes = {1, 2, 3}});
  writer.Add(DomainLossMessage{
      .m_domain = {.m_region = "north", .m_name = "n1"}, .m_loss_version = 10});
  return writer.Finish();
}

TEST(DatagramTest, RoundTrips) {
  std::string reason;
  const auto datagram = DecodeDatagram(SampleDatagram(), &reason);
  ASSERT_TRUE(datagram) << reason;
  ASSERT_EQ(datagram->m_messages.size(), 6U);
  const auto& entry = std::get<EntryMessage>(datagram->m_messages[1]);
  EXPECT_EQ(entry.m_entry.m_region, "north");
  EXPECT_EQ(entry.m_entry.m_instances.size(), 3U);
  EXPECT_EQ(entry.m_status_version, 6U);
  EXPECT_TRUE(std::get<StampMessage>(datagram->m_messages[3]).m_is_reply);
  const auto& group = std::get<GroupReportMessage>(datagram->m_messages[4]);
  EXPECT_EQ(group.m_bytes, (std::vector<uint8_t>{1, 2, 3}));
  const auto& loss = std::get<DomainLossMessage>(datagram->m_messages[5]);
  EXPECT_EQ(loss.m_domain.m_name, "n1");
  EXPECT_EQ(loss.m_loss_version, 10U);
}

TEST(DatagramTest, LargestEntryFits) {
  MemberEntry entry;
  entry.m_region.assign(kMaxLocationNameBytes, 'r');
  entry.m_failure_domain = entry.m_region;
  entry.m_site = entry.m_region;
  entry.m_instances.resize(kMaxInstancesPerNode);
  DatagramWriter writer({});
  EXPECT_TRUE(writer.Add(EntryMessage{.m_entry = entry}));
  EXPECT_LE(writer.Size(), kMaxDatagramBytes);
}

TEST(DatagramTest, MessageThatDoesNotFitLeavesTheDatagramIntact) {
  DatagramWriter writer({});
  const DigestMessage digest{.m_hashes = std::vector<uint32_t>(kDigestBuckets)};
  ASSERT_TRUE(writer.Add(digest));
  ASSERT_FALSE(writer.Add(digest));
  std::string reason;
  const auto datagram = DecodeDatagram(writer.Finish(), &reason);
  ASSERT_TRUE(datagram) << reason;
  EXPECT_EQ(datagram->m_messages.size(), 1U);
}

RC_GTEST_PROP(DatagramTest,
              AnyBytesAreDecodedOrRejectedWithAReason,
              (const std::vector<uint8_t>& bytes)) {
  std::string reason;
  if (!DecodeDatagram(bytes, &reason)) {
    RC_ASSERT(!reason.empty());
  }
}

RC_GTEST_PROP(DatagramTest, DamagedDatagramsStayWithinBounds, ()) {
  std::vector<uint8_t> bytes = SampleDatagram();
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<uint8_t>();
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  std::string reason;
  const auto datagram = DecodeDatagram(bytes, &reason);
  if (!datagram) {
    RC_ASSERT(!reason.empty());
    return;
  }
  for (const MembershipMessage& message : datagram->m_messages) {
    if (const auto* entry = std::get_if<EntryMessage>(&message)) {
      RC_ASSERT(entry->m_entry.m_instances.size() <= kMaxInstancesPerNode);
      RC_ASSERT(entry->m_entry.m_region.size() <= kMaxLocationNameBytes);
    }
  }
}

TEST(DatagramTest, LongLengthsAllocateNothing) {
  DatagramWriter writer({});
  writer.Add(GroupReportMessage{.m_bytes = {1}});
  std::vector<uint8_t> bytes = writer.Finish();
  // The two bytes before the payload are its length.
  bytes[bytes.size() - 2] = 0xff;
  bytes[bytes.size() - 3] = 0xff;
  std::string reason;
  EXPECT_FALSE(DecodeDatagram(bytes, &reason));
  EXPECT_EQ(reason, "sequence too long");
}

}  // namespace
}  // namespace sequoiastage
