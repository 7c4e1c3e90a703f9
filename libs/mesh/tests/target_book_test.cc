#include "sequoiastage/mesh/target_book.h"

#include <gtest/gtest.h>

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
          .m_service = ServiceIdOf(service),
          .m_slots = 3};
}

size_t CandidatesOf(const TargetBook& book, std::string_view service) {
  return book
      .Candidates(ServiceIdOf(service), TimePoint{},
                  [](NodeId) { return true; })
      .size();
}

TEST(TargetBookTest, InstancesAreFoundByTheServiceThatTheyHaveNow) {
  TargetBook book(Record(1, "plans"));
  book.SetMember(Record(2, "plans"));
  book.SetMember(Record(3, "plans"));
  book.SetMember(Record(3, "plans"));
  EXPECT_EQ(CandidatesOf(book, "plans"), 2U);
  EXPECT_EQ(book.ServiceSize(ServiceIdOf("plans")), 2U);
  book.SetMember(Record(3, "bookings"));
  EXPECT_EQ(CandidatesOf(book, "plans"), 1U);
  EXPECT_EQ(CandidatesOf(book, "bookings"), 1U);
  MemberRecord without = Record(3, "bookings");
  without.m_instance.clear();
  book.SetMember(without);
  EXPECT_EQ(CandidatesOf(book, "bookings"), 0U);
  EXPECT_EQ(book.ServiceSize(ServiceIdOf("bookings")), 0U);
}

TEST(TargetBookTest, LeavingNodesAreNoCandidatesButCount) {
  TargetBook book(Record(1, "plans"));
  book.SetMember(Record(2, "plans"));
  book.SetLeaving(Node(2));
  EXPECT_EQ(CandidatesOf(book, "plans"), 0U);
  EXPECT_EQ(book.ServiceSize(ServiceIdOf("plans")), 1U);
}

}  // namespace
}  // namespace sequoiastage
