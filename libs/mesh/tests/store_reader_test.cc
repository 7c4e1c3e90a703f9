#include "sequoiastage/mesh/store_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_platform.h"

namespace sequoiastage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKey[] = "config";

// A reader of configurations whose values are version numbers. Like a node, it
// rejects versions that are not newer than the one in force.
struct TestReader {
  TestReader(asio::io_context& io, FakeLog& log)
      : m_store(io, log),
        m_reader(
            io,
            m_store,
            {},
            {.m_on_record =
                 [this](const StoreRecord& record) { return OnRecord(record); },
             .m_written_era = [](const StoreRecord& record) -> StoreEra {
               return record.m_topic == StoreTopic::kConfig
                          ? StoreEra(UINT32_MAX)
                          : StoreEra(static_cast<uint32_t>(
                                std::stoul(record.m_value)));
             },
             .m_on_era =
                 [this](std::optional<StoreEra> previous) {
                   m_era_changes += previous ? 1 : 0;
                 }}) {}

  bool OnRecord(const StoreRecord& record) {
    if (record.m_topic == StoreTopic::kMembers) {
      m_members[record.m_key] = record.m_value;
      return true;
    }
    const int version = std::stoi(record.m_value);
    EXPECT_GE(m_version, m_highest);
    if (version <= m_version) {
      return false;
    }
    m_version = version;
    m_highest = std::max(m_highest, version);
    return true;
  }

  FakeStore m_store;
  int m_version = 0;
  int m_highest = 0;
  int m_era_changes = 0;
  std::map<std::string, std::string> m_members;
  StoreReader<FakeStore> m_reader;
};

class StoreReaderTest : public testing::Test {
 protected:
  StoreReaderTest() : m_first(m_io, m_log), m_second(m_io, m_log) {
    m_log.m_era = StoreEra(1);
  }

  void WriteConfig(int version) {
    m_log.Write(StoreTopic::kConfig, kKey, std::to_string(version));
  }

  // `value`: era in which the record was written, and any text after it.
  void WriteMember(const std::string& key, const std::string& value) {
    m_log.Write(StoreTopic::kMembers, key, value);
  }

  bool WaitForVersion(const TestReader& reader, int version) {
    return RunUntil(
        m_io, [&] { return reader.m_version == version; }, seconds(4));
  }

  // Hands everything that `from` knows to `to`, as a relay does.
  static void Relay(const TestReader& from, TestReader& to) {
    for (const StoreRecord& record :
         from.m_reader.RecordsFrom(to.m_reader.Next(StoreTopic::kConfig),
                                   to.m_reader.Next(StoreTopic::kMembers))) {
      to.m_reader.ApplyRelayed(record);
    }
  }

  asio::io_context m_io;
  FakeLog m_log;
  TestReader m_first;
  TestReader m_second;
};

// Guards against a reader that stops following the store after one record that
// its node fails to handle. Such a record is still passed on.
TEST_F(StoreReaderTest, FailureToHandleARecordEndsNoReading) {
  WriteConfig(1);
  WriteMember("a", "1 first");
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 1));
  m_log.Write(StoreTopic::kConfig, kKey, "no number");
  WriteMember("b", "no era");
  WriteMember("c", "1 later");
  EXPECT_TRUE(RunUntil(
      m_io, [&] { return m_first.m_members.contains("c"); }, seconds(4)));
  WriteConfig(2);
  EXPECT_TRUE(WaitForVersion(m_first, 2));
  m_log.Write(StoreTopic::kConfig, kKey, "no number either");
  EXPECT_TRUE(RunUntil(
      m_io,
      [&] {
        const auto records = m_first.m_reader.RecordsFrom(
            StorePosition(0), m_first.m_reader.Next(StoreTopic::kMembers));
        return records.size() == 1 && records[0].m_value == "no number either";
      },
      seconds(4)));
  WriteConfig(3);
  EXPECT_TRUE(WaitForVersion(m_first, 3));
}

// Guards against a relay that is given up because it is reading a large
// configuration: the next one would have to do the same.
TEST_F(StoreReaderTest, NodeThatReceivesALargeConfigurationIsUpToDate) {
  WriteConfig(1);
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 1));
  const TimePoint now = BootNow();
  m_first.m_store.m_last_received_at = now + milliseconds(2900);
  EXPECT_LE(m_first.m_reader.ConfigReadAge(now + seconds(3)),
            milliseconds(100));
  // A transfer that hardly proceeds ends that.
  m_first.m_store.m_last_received_at = now + milliseconds(8900);
  EXPECT_GE(m_first.m_reader.ConfigReadAge(now + seconds(9)), seconds(8));
}

// Guards against a node that is far behind and reads one version after the
// other, while its subscribers take it for up to date.
TEST_F(StoreReaderTest, NodeFarBehindGoesToTheNewestConfiguration) {
  m_first.m_store.m_max_page_records = 1;
  WriteConfig(1);
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 1));
  m_first.m_reader.SetScope(ReadScope::kNone);
  for (int version = 2; version <= 40; ++version) {
    WriteConfig(version);
  }
  const TimePoint before = BootNow();
  const int calls = m_first.m_store.m_calls;
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(RunUntil(m_io, [&] { return m_first.m_version > 1; }));
  if (m_first.m_version < 40) {
    EXPECT_GE(m_first.m_reader.ConfigReadAge(BootNow()), BootNow() - before);
  }
  ASSERT_TRUE(WaitForVersion(m_first, 40));
  EXPECT_LE(m_first.m_store.m_calls, calls + 6);
}

TEST_F(StoreReaderTest, ReadsConfigurationAtAnOffsetThatIsAssignedAgain) {
  for (int version = 1; version <= 10; ++version) {
    WriteConfig(version);
  }
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 10));
  m_log.Rewind(6, 0);
  WriteConfig(11);
  EXPECT_TRUE(WaitForVersion(m_first, 11));
  EXPECT_EQ(m_first.m_era_changes, 1);
  // Also when the end offset is the same as before.
  m_log.Rewind(6, 0);
  WriteConfig(12);
  EXPECT_TRUE(WaitForVersion(m_first, 12));
  WriteConfig(13);
  EXPECT_TRUE(WaitForVersion(m_first, 13));
  EXPECT_EQ(m_first.m_era_changes, 2);
}

TEST_F(StoreReaderTest, OlderCopyTakesNothingBack) {
  for (int version = 1; version <= 10; ++version) {
    WriteConfig(version);
  }
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 10));
  m_log.Rewind(6, 0);
  ASSERT_TRUE(RunUntil(m_io, [&] { return m_first.m_era_changes == 1; }));
  RunUntil(
      m_io, [] { return false; }, milliseconds(200));
  EXPECT_EQ(m_first.m_version, 10);
  // A node that starts now reads the older version and takes the newer one
  // from a node that had it.
  m_second.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_second, 6));
  Relay(m_first, m_second);
  EXPECT_EQ(m_second.m_version, 10);
  // The next version reaches both.
  WriteConfig(11);
  EXPECT_TRUE(WaitForVersion(m_first, 11));
  EXPECT_TRUE(WaitForVersion(m_second, 11));
}

TEST_F(StoreReaderTest, CopyDoesNotRestoreAnOutdatedMember) {
  WriteMember("a", "1 ready");
  WriteMember("b", "1 ready");
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(RunUntil(m_io, [&] { return m_first.m_members.size() == 2; }));
  WriteMember("a", "1 left");
  ASSERT_TRUE(
      RunUntil(m_io, [&] { return m_first.m_members["a"] == "1 left"; }));
  m_log.Rewind(0, 2);
  ASSERT_TRUE(RunUntil(m_io, [&] { return m_first.m_era_changes == 1; }));
  WriteMember("b", "2 ready again");
  ASSERT_TRUE(RunUntil(
      m_io, [&] { return m_first.m_members["b"] == "2 ready again"; }));
  EXPECT_EQ(m_first.m_members["a"], "1 left");
  // A later incarnation at the same address is used again.
  WriteMember("a", "2 restarted");
  EXPECT_TRUE(
      RunUntil(m_io, [&] { return m_first.m_members["a"] == "2 restarted"; }));
}

TEST_F(StoreReaderTest, RelayedRecordOfALaterEraIsTakenAndOlderOnesAreNot) {
  WriteConfig(3);
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 3));
  Relay(m_first, m_second);
  m_first.m_reader.SetScope(ReadScope::kNone);
  m_log.Rewind(0, 0);
  WriteConfig(4);
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 4));
  const auto old_records = m_second.m_reader.RecordsFrom({}, {});
  Relay(m_first, m_second);
  EXPECT_EQ(m_second.m_version, 4);
  EXPECT_EQ(m_second.m_reader.Era(), StoreEra(2));
  for (const StoreRecord& record : old_records) {
    m_first.m_reader.ApplyRelayed(record);
  }
  EXPECT_EQ(m_first.m_version, 4);
  EXPECT_EQ(m_first.m_reader.Era(), StoreEra(2));
}

TEST_F(StoreReaderTest, MissingOffsetsCauseFewCalls) {
  WriteConfig(1);
  m_first.m_reader.SetScope(ReadScope::kAll);
  ASSERT_TRUE(WaitForVersion(m_first, 1));
  for (int i = 0; i < 5; ++i) {
    WriteConfig(i + 2);
  }
  ASSERT_TRUE(WaitForVersion(m_first, 6));
  const int before = m_first.m_store.m_calls;
  m_log.Rewind(1, 0);
  RunUntil(
      m_io, [] { return false; }, seconds(2));
  // Two polls of the configuration topic a second, and the reads of both
  // topics anew.
  EXPECT_LT(m_first.m_store.m_calls - before, 10);
}

// Any order of writes, rewinds, reads, relays and restarts: no configuration in
// force goes back, and all nodes agree once the last one has been relayed.
RC_GTEST_PROP(StoreReaderPropertyTest, NodesAgreeAfterRewinds, ()) {
  asio::io_context io;
  FakeLog log;
  std::vector<std::unique_ptr<TestReader>> nodes(3);
  for (auto& node : nodes) {
    node = std::make_unique<TestReader>(io, log);
  }
  const auto read = [&](TestReader& node) {
    node.m_reader.SetScope(ReadScope::kAll);
    for (int i = 0; i < 8; ++i) {
      io.restart();
      io.poll();
    }
    node.m_reader.SetScope(ReadScope::kNone);
  };
  const auto relay = [](const TestReader& from, TestReader& to) {
    for (const StoreRecord& record :
         from.m_reader.RecordsFrom(to.m_reader.Next(StoreTopic::kConfig),
                                   to.m_reader.Next(StoreTopic::kMembers))) {
      to.m_reader.ApplyRelayed(record);
    }
  };
  int version = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 12));
  for (const int step : steps) {
    TestReader& node = *nodes[static_cast<size_t>(step) % nodes.size()];
    if (step < 3) {
      log.Write(StoreTopic::kConfig, kKey, std::to_string(++version));
    } else if (step < 6) {
      read(node);
    } else if (step < 9) {
      relay(*nodes[static_cast<size_t>(step + 1) % nodes.size()], node);
    } else if (step < 11) {
      log.Rewind(log.m_topics[0].size() / 2, 0);
    } else {
      nodes[0] = std::make_unique<TestReader>(io, log);
    }
  }
  // The operator writes its newest configuration again.
  log.Write(StoreTopic::kConfig, kKey, std::to_string(++version));
  nodes[0]->m_reader.SetScope(ReadScope::kAll);
  RC_ASSERT(RunUntil(io, [&] { return nodes[0]->m_version == version; }));
  relay(*nodes[0], *nodes[1]);
  relay(*nodes[1], *nodes[2]);
  RC_ASSERT(nodes[1]->m_version == version);
  RC_ASSERT(nodes[2]->m_version == version);
}

}  // namespace
}  // namespace sequoiastage
