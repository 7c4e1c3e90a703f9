#include "sequoiastage/wire/packed_records.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

RC_GTEST_PROP(PackedRecordsTest,
              RoundTripsRecords,
              (const std::vector<std::string>& texts)) {
  std::vector<StoreRecord> records;
  records.reserve(texts.size());
  for (const std::string& text : texts) {
    records.push_back({.m_topic = StoreTopic::kMembers,
                       .m_position = StorePosition(text.size()),
                       .m_key = text,
                       .m_value = text + text});
  }
  RC_ASSERT(UnpackRecords(PackRecords(records)) == records);
}

RC_GTEST_PROP(PackedRecordsTest,
              DamagedBytesAreRejectedOrDecoded,
              (const std::string& bytes)) {
  std::string packed = PackRecords({{.m_key = "k", .m_value = bytes}});
  const auto at = *rc::gen::inRange<size_t>(0, packed.size());
  packed[at] = static_cast<char>(packed[at] ^ *rc::gen::inRange(1, 256));
  UnpackRecords(packed);  // Terminates with any result.
  RC_ASSERT(!UnpackRecords(bytes) || !bytes.empty());
}

// Guards against a relay that fails on the member list of a large fleet.
TEST(PackedRecordsTest, HoldsTheMembersOfALargeFleet) {
  constexpr size_t kNodes = 20'000;
  std::vector<StoreRecord> records;
  for (size_t node = 0; node < kNodes; ++node) {
    records.push_back({.m_topic = StoreTopic::kMembers,
                       .m_position = StorePosition(node),
                       .m_key = std::to_string(node),
                       .m_value = "member " + std::to_string(node)});
  }
  EXPECT_EQ(UnpackRecords(PackRecords(records)), records);
}

std::string ManyRoutes(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += "{\"name\":\"route-" + std::to_string(i) +
            "\",\"host\":\"a.example\",\"prefix\":\"/p" + std::to_string(i) +
            "/\",\"timeout\":1.5}";
  }
  return text;
}

TEST(PackedRecordsTest, CompressesRepetitiveText) {
  const std::string text = ManyRoutes(350);
  EXPECT_LT(PackRecords({{.m_key = "k", .m_value = text}}).size(),
            text.size() / 5);
}

RC_GTEST_PROP(PackedRecordsTest,
              RoundTripsRecordsAgainstABase,
              (const std::string& base_value, const std::string& value)) {
  const StoreRecord base{
      .m_position = StorePosition(7), .m_key = "k", .m_value = base_value};
  const std::vector<StoreRecord> records = {
      {.m_position = StorePosition(9), .m_key = "k", .m_value = value}};
  const std::string packed = PackRecordsAgainst(records, base);
  const auto find = [&base](StorePosition position) {
    return position == base.m_position ? &base.m_value : nullptr;
  };
  RC_ASSERT(UnpackRecords(packed, find) == records);
  RC_ASSERT(!UnpackRecords(packed));
  std::string damaged = packed;
  const auto at = *rc::gen::inRange<size_t>(0, packed.size());
  damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
  UnpackRecords(damaged, find);  // Terminates with any result.
}

// Guards against a relay whose link carries the whole document for each change.
TEST(PackedRecordsTest, ChangeOfOneRouteAmongManyTakesFewBytes) {
  const StoreRecord base{.m_position = StorePosition(7),
                         .m_key = "k",
                         .m_value = ManyRoutes(24'000)};
  StoreRecord next{
      .m_position = StorePosition(8), .m_key = "k", .m_value = base.m_value};
  next.m_value.insert(next.m_value.size() / 2, "{\"name\":\"added\"}");
  const std::string packed = PackRecordsAgainst({next}, base);
  EXPECT_LT(packed.size(), 2000U);
  const std::string other = ManyRoutes(23'999);
  EXPECT_EQ(UnpackRecords(packed, [&](StorePosition) { return &base.m_value; }),
            std::vector<StoreRecord>{next});
  EXPECT_FALSE(UnpackRecords(packed, [&](StorePosition) { return &other; }));
}

// Guards against a small message that exhausts memory when decompressed.
TEST(PackedRecordsTest, RejectsOversizedDecompressedData) {
  const std::string text(size_t{20} << 20, 'x');
  EXPECT_FALSE(UnpackRecords(PackRecords({{.m_key = "k", .m_value = text}})));
}

}  // namespace
}  // namespace sequoiastage
