#include "sequoiastage/logclient/log_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace sequoiastage {
namespace {

// Returns the given results, in order.
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

HttpCallResult BuildResponse(uint16_t status, std::string body) {
  return {.m_error = HttpCallError::kNone,
          .m_reason = "",
          .m_response = {
              .m_status = status, .m_fields = {}, .m_body = std::move(body)}};
}

HttpCallResult BuildFailure(HttpCallError error) {
  return {.m_error = error, .m_reason = "why", .m_response = {}};
}

AppendOutcome AppendWithResult(const HttpCallResult& call) {
  BasicLogClient<FakeTransport> client({}, FakeTransport({call}));
  return client.Append("x").m_outcome;
}

std::optional<LogPage> ReadPage(const std::string& body) {
  BasicLogClient<FakeTransport> client(
      {}, FakeTransport({BuildResponse(200, body)}));
  return client.Read(LogOffset(5), 10);
}

TEST(LogClientTest, DistinguishesFailedFromAmbiguousAppends) {
  EXPECT_EQ(AppendWithResult(BuildResponse(200, R"({"offset": 3})")),
            AppendOutcome::kAppended);
  EXPECT_EQ(AppendWithResult(BuildResponse(413, "")), AppendOutcome::kFailed);
  EXPECT_EQ(AppendWithResult(BuildFailure(HttpCallError::kConnectFailed)),
            AppendOutcome::kFailed);
  EXPECT_EQ(AppendWithResult(BuildResponse(200, "{}")),
            AppendOutcome::kAmbiguous);
  EXPECT_EQ(AppendWithResult(BuildResponse(503, "")),
            AppendOutcome::kAmbiguous);
  EXPECT_EQ(AppendWithResult(BuildFailure(HttpCallError::kTimeout)),
            AppendOutcome::kAmbiguous);
  EXPECT_EQ(AppendWithResult(BuildFailure(HttpCallError::kIncomplete)),
            AppendOutcome::kAmbiguous);
}

TEST(LogClientTest, RejectsARecordThatIsNotUtf8) {
  BasicLogClient<FakeTransport> client({});
  EXPECT_EQ(client.Append("\xff").m_outcome, AppendOutcome::kFailed);
}

TEST(LogClientTest, RejectsPagesWithGapsOrOutOfOrder) {
  EXPECT_TRUE(ReadPage(R"({"first": 2, "end": 7, "records": [
      {"offset": 5, "record": "a"}, {"offset": 6, "record": "b"}]})"));
  EXPECT_FALSE(ReadPage(R"({"first": 2, "end": 7, "records": [
      {"offset": 6, "record": "b"}]})"));
  EXPECT_FALSE(ReadPage(R"({"first": 2, "end": 7, "records": [
      {"offset": 5, "record": "a"}, {"offset": 5, "record": "b"}]})"));
  EXPECT_FALSE(ReadPage(R"({"first": 2, "end": 5, "records": [
      {"offset": 5, "record": "a"}]})"));
  EXPECT_FALSE(ReadPage(R"({"first": 2, "records": []})"));
  EXPECT_FALSE(ReadPage("[]"));
}

TEST(LogClientTest, ReadsAnEmptyRecord) {
  const auto page = ReadPage(R"({"first": 2, "end": 6, "records": [
      {"offset": 5, "record": ""}]})");
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page->m_records.size(), 1U);
}

RC_GTEST_PROP(LogClientTest, DamagedResponsesAreRejectedOrStillInOrder, ()) {
  std::string body = R"({"first": 2, "end": 7, "offset": 1, "records": [
      {"offset": 5, "record": "a"}, {"offset": 6, "record": "b"}]})";
  const auto at = *rc::gen::inRange<size_t>(0, body.size());
  body[at] = *rc::gen::element(' ', '0', '9', '-', '"', '{', ']', ',', '\xff');
  const HttpCallResult call = BuildResponse(200, body);
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
