#include "../src/connection_ledger_p.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

using std::chrono::seconds;

constexpr size_t kLarge = 10 * ConnectionLedger::kMinUnreadBytes;

class ConnectionLedgerTest : public testing::Test {
 protected:
  static ConnectionNumber Number(uint64_t number) {
    return ConnectionNumber(number);
  }

  TimePoint m_now{seconds(100)};
  ConnectionLedger m_ledger;
};

// A crowd that reads nothing, and callers that read slowly: the crowd is closed
// first, in the order in which it stopped.
TEST_F(ConnectionLedgerTest, ThoseThatReadNothingGoBeforeThoseThatRead) {
  for (uint64_t i = 0; i < 10; ++i) {
    m_ledger.Add(Number(i), m_now);
    m_ledger.SetUnread(Number(i), kLarge, m_now);
    m_now += seconds(1);
  }
  m_ledger.OnTaken(Number(0), m_now);
  m_ledger.OnTaken(Number(1), m_now + seconds(1));
  for (const uint64_t expected : {2, 3, 4, 5, 6, 7, 8, 9, 0, 1}) {
    ASSERT_EQ(m_ledger.StalestReader(), Number(expected));
    m_ledger.Remove(Number(expected));
  }
  EXPECT_FALSE(m_ledger.StalestReader());
}

TEST_F(ConnectionLedgerTest, SmallResponsesAreNoReason) {
  m_ledger.Add(Number(1), m_now);
  m_ledger.SetUnread(Number(1), ConnectionLedger::kMinUnreadBytes, m_now);
  EXPECT_FALSE(m_ledger.StalestReader());
}

// A crowd that only connects, beside callers with requests in progress.
TEST_F(ConnectionLedgerTest, ConnectionsWithARequestAreKept) {
  for (uint64_t i = 0; i < 3; ++i) {
    m_ledger.Add(Number(i), m_now + seconds(i));
  }
  m_ledger.SetBusy(Number(0), true, m_now + seconds(9));
  EXPECT_EQ(m_ledger.LongestWithoutRequest(), Number(1));
  m_ledger.SetBusy(Number(1), true, m_now + seconds(9));
  m_ledger.SetBusy(Number(1), false, m_now + seconds(10));
  EXPECT_EQ(m_ledger.LongestWithoutRequest(), Number(2));
  m_ledger.Remove(Number(2));
  EXPECT_EQ(m_ledger.LongestWithoutRequest(), Number(1));
  m_ledger.Remove(Number(1));
  EXPECT_FALSE(m_ledger.LongestWithoutRequest());
}

}  // namespace
}  // namespace sequoiastage
