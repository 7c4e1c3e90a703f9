#include "sequoiastage/logclient/log_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace sequoiastage {
namespace {

// Gives the answers it was made with, in order.
class FakeTransport {
 public:
  FakeTransport() = default;
  explicit FakeTransport(std::deque<HttpCallResult> results)
      : m_results(std::move(results)) {}

  HttpCallResult Call(const HttpCallOptions&, const HttpRequest&) {
    HttpCallResult result = m_results.front();
    m_results.pop_front();
    return result;
  }

 private:
  std::deque<HttpCallResult> m_results;
};

HttpCallResult Answer(uint16_t status, std::string body) {
  return {.m_error = HttpCallError::kNone,
          .m_reason = "",
          .m_answer = {
              .m_status = status, .m_fields = {}, .m_body = std::move(body)}};
}

HttpCallResult Failure(HttpCallError error) {
  return {.m_error = error, .m_reason = "why", .m_answer = {}};
}

AppendOutcome OutcomeOf(const HttpCallResult& call) {
  BasicLogClient<FakeTransport> client({}, FakeTransport({call}));
  return client.Append("x").m_outcome;
}

std::optional<LogPage> PageOf(const std::string& body) {
  BasicLogClient<FakeTransport> client({}, FakeTransport({Answer(200, body)}));
  return client.Read(LogOffset(5), 10);
}

TEST(LogClientTest, TellsFailedFromAmbiguousAppends) {
  EXPECT_EQ(OutcomeOf(Answer(200, R"({"offset": 3})")),
            AppendOutcome::kAppended);
  EXPECT_EQ(OutcomeOf(Answer(413, "")), AppendOutcome::kFailed);
  EXPECT_EQ(OutcomeOf(Failure(HttpCallError::kConnectFailed)),
            AppendOutcome::kFailed);
  EXPECT_EQ(OutcomeOf(Answer(200, "{}")), AppendOutcome::kAmbiguous);
  EXPECT_EQ(OutcomeOf(Answer(503, "")), AppendOutcome::kAmbiguous);
  EXPECT_EQ(OutcomeOf(Failure(HttpCallError::kTimeout)),
            AppendOutcome::kAmbiguous);
  EXPECT_EQ(OutcomeOf(Failure(HttpCallError::kIncomplete)),
            AppendOutcome::kAmbiguous);
}

TEST(LogClientTest, RefusesARecordThatIsNoText) {
  BasicLogClient<FakeTransport> client({});
  EXPECT_EQ(client.Append("\xff").m_outcome, AppendOutcome::kFailed);
}

TEST(LogClientTest, RefusesPagesWithGapsOrInDisorder) {
  EXPECT_TRUE(PageOf(R"({"first": 2, "end": 7, "records": [
      {"offset": 5, "record": "a"}, {"offset": 6, "record": "b"}]})"));
  EXPECT_FALSE(PageOf(R"({"first": 2, "end": 7, "records": [
      {"offset": 6, "record": "b"}]})"));
  EXPECT_FALSE(PageOf(R"({"first": 2, "end": 7, "records": [
      {"offset": 5, "record": "a"}, {"offset": 5, "record": "b"}]})"));
  EXPECT_FALSE(PageOf(R"({"first": 2, "end": 5, "records": [
      {"offset": 5, "record": "a"}]})"));
  EXPECT_FALSE(PageOf(R"({"first": 2, "records": []})"));
  EXPECT_FALSE(PageOf("[]"));
}

TEST(LogClientTest, ReadsAnEmptyRecord) {
  const auto page = PageOf(R"({"first": 2, "end": 6, "records": [
      {"offset": 5, "record": ""}]})");
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page->m_records.size(), 1U);
}

RC_GTEST_PROP(LogClientTest, DamagedAnswersAreRefusedOrStillInOrder, ()) {
  std::string body = R"({"first": 2, "end": 7, "offset": 1, "records": [
      {"offset": 5, "record": "a"}, {"offset": 6, "record": "b"}]})";
  const auto at = *rc::gen::inRange<size_t>(0, body.size());
  body[at] = *rc::gen::element(' ', '0', '9', '-', '"', '{', ']', ',', '\xff');
  const HttpCallResult call = Answer(200, body);
  const AppendResult append = ToAppendResult(call);
  RC_ASSERT((append.m_outcome == AppendOutcome::kAppended) ==
            append.m_reason.empty());
  std::string reason;
  const auto page = ToLogPage(call, LogOffset(5), &reason);
  RC_ASSERT(page.has_value() == reason.empty());
  if (page) {
    RC_ASSERT(page->m_records.size() == 2U);
    RC_ASSERT(page->m_records[1].m_offset == LogOffset(6));
  }
}

}  // namespace
}  // namespace sequoiastage
