#include "key_owner_p.h"

#include <utility>

#include "caller_request_p.h"
#include "stored_message_p.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kRetryAfterSeconds = 1;
// How long after the caller's deadline the outcome of started work still
// counts. The egress waits a little less.
constexpr std::chrono::seconds kLingerTime{6};

StoredResponse Store(const KeyedAnswer& answer) {
  return StoreMessage(KeyedReplyMessage{.m_outcome = answer.m_outcome,
                                        .m_answer = answer.m_answer});
}

KeyedAnswer LoadStored(const StoredResponse& stored) {
  auto reply = LoadMessage<KeyedReplyMessage>(stored);
  return reply ? KeyedAnswer{.m_outcome = reply->m_outcome,
                             .m_answer = std::move(reply->m_answer)}
               : KeyedAnswer{};
}

KeyedAnswer FromProblem(const Problem& problem) {
  return {.m_outcome = problem.m_outcome, .m_answer = ToAnswer(problem)};
}

KeyedAnswer UnknownAnswer(const std::string& detail) {
  return FromProblem({.m_status = 409,
                      .m_outcome = RequestOutcome::kUnknown,
                      .m_title = "Outcome unknown",
                      .m_detail = detail});
}

// Answer at the caller's deadline.
KeyedAnswer StillRunning() {
  return FromProblem({.m_status = 504,
                      .m_outcome = RequestOutcome::kUnknown,
                      .m_title = "Still running",
                      .m_detail =
                          "No answer came in time. Show the same key again to "
                          "learn the outcome.",
                      .m_retry_after = kRetryAfterSeconds});
}

// Answer for a key that is neither run nor waited for.
KeyedAnswer AnswerFor(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kResponseDropped:
      return UnknownAnswer(
          "The request ran and was answered; the answer is no longer kept.");
    case KeyVerdict::kMismatch:
      return FromProblem(
          {.m_status = 422,
           .m_title = "Key of another request",
           .m_detail = "This idempotency key was used with another request."});
    case KeyVerdict::kForged:
      return FromProblem(
          {.m_status = 422,
           .m_title = "Unknown key",
           .m_detail = "This idempotency key was issued by no node."});
    case KeyVerdict::kExpired:
      return UnknownAnswer(
          "The key has expired. The request may have run and is not run "
          "again.");
    case KeyVerdict::kFull:
      return FromProblem({.m_status = 503,
                          .m_title = "Too many keys in use",
                          .m_detail = "The request was not run.",
                          .m_retry_after = kRetryAfterSeconds});
    case KeyVerdict::kUnused:
      return FromProblem({.m_status = 404,
                          .m_title = "Key not used",
                          .m_detail = "No request was run under this key."});
    case KeyVerdict::kAnswered:
      return FromProblem(
          {.m_status = 200,
           .m_outcome = RequestOutcome::kAnswered,
           .m_title = "Answered",
           .m_detail = "The request was run and answered; the answer is given "
                       "to who sends the request again."});
    case KeyVerdict::kWait:
      return FromProblem({.m_status = 202,
                          .m_outcome = RequestOutcome::kUnknown,
                          .m_title = "Running",
                          .m_detail = "The request is running."});
    default:
      return UnknownAnswer("The request may have run and is not run again.");
  }
}

}  // namespace

HttpResponse ToAnswer(RunResult result) {
  const std::string why(Explain(result.m_reason));
  const auto retry_after = static_cast<uint32_t>(result.m_retry_after.count());
  switch (result.m_outcome) {
    case RequestOutcome::kAnswered:
      RemoveConnectionFields(result.m_answer.m_fields);
      result.m_answer.m_fields.push_back(
          {kOutcomeField, std::string(ToString(result.m_outcome))});
      return std::move(result.m_answer);
    case RequestOutcome::kNotRun:
      return ToAnswer(
          Problem{.m_status = 503,
                  .m_title = "Not run",
                  .m_detail = "The request was not run: " + why + ".",
                  .m_retry_after = retry_after,
                  .m_reason = result.m_reason});
    case RequestOutcome::kUnknown:
      break;
  }
  return ToAnswer(Problem{.m_status = 504,
                          .m_outcome = RequestOutcome::kUnknown,
                          .m_title = "Outcome unknown",
                          .m_detail = "No whole answer came: " + why +
                                      ". The request may have run.",
                          .m_retry_after = retry_after,
                          .m_reason = result.m_reason});
}

KeyOwner::KeyOwner(asio::io_context& io,
                   NodeId node,
                   Incarnation incarnation,
                   RequestRunner& runner)
    : m_io(io),
      m_issuer({.m_owner = node, .m_incarnation = incarnation},
               KeyIssuer::MakeSecret()),
      m_runner(runner) {}

std::string KeyOwner::Issue() {
  return ToString(m_issuer.Issue(WallNow()));
}

void KeyOwner::Present(const IdempotencyKey& key,
                       const std::string& account,
                       RunRequest request,
                       const Done& done) {
  const HttpRequest& http = request.m_request;
  const RequestFingerprint fingerprint =
      ComputeFingerprint({.m_account = account,
                          .m_method = http.m_method,
                          .m_host = http.m_host,
                          .m_target = http.m_target,
                          .m_body = http.m_body});
  const KeyWaiter waiter(++m_last_waiter);
  const KeyDecision decision =
      m_ledger.Submit(m_issuer, key, fingerprint, waiter, WallNow());
  switch (decision.m_verdict) {
    case KeyVerdict::kDispatch:
      AddWaiter(waiter, key, request.m_deadline, done);
      Start(key, std::move(request), waiter);
      return;
    case KeyVerdict::kWait:
      AddWaiter(waiter, key, request.m_deadline, done);
      return;
    case KeyVerdict::kAnswered:
      done(LoadStored(decision.m_response));
      return;
    default:
      done(AnswerFor(decision.m_verdict));
  }
}

KeyedAnswer KeyOwner::Look(const IdempotencyKey& key) {
  return AnswerFor(m_ledger.Lookup(m_issuer, key, WallNow()).m_verdict);
}

void KeyOwner::AddWaiter(KeyWaiter waiter,
                         const IdempotencyKey& key,
                         WallTime deadline,
                         const Done& done) {
  const auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(deadline - WallNow());
  timer->async_wait([this, timer, key, waiter](const asio::error_code& error) {
    if (!error) {
      m_ledger.RemoveWaiter(key, waiter);
      AnswerWaiter(waiter, StillRunning());
    }
  });
  m_waiters.emplace(waiter, Waiter{.m_done = done, .m_timer = timer});
}

void KeyOwner::AnswerWaiter(KeyWaiter waiter, KeyedAnswer answer) {
  const auto it = m_waiters.find(waiter);
  if (it == m_waiters.end()) {
    return;
  }
  const Waiter waiting = std::move(it->second);
  m_waiters.erase(it);
  waiting.m_timer->cancel();
  waiting.m_done(std::move(answer));
}

void KeyOwner::Start(const IdempotencyKey& key,
                     RunRequest request,
                     KeyWaiter waiter) {
  request.m_linger = kLingerTime;
  m_runner.Run(std::move(request), [this, key, waiter](RunResult result) {
    OnRun(key, std::move(result), waiter);
  });
}

void KeyOwner::OnRun(const IdempotencyKey& key,
                     RunResult result,
                     KeyWaiter waiter) {
  KeyedAnswer answer{.m_outcome = result.m_outcome};
  answer.m_answer = ToAnswer(std::move(result));
  const bool is_kept = answer.m_outcome == RequestOutcome::kAnswered;
  const std::vector<KeyWaiter> waiters = m_ledger.Resolve(
      key, answer.m_outcome, is_kept ? Store(answer) : nullptr);
  AnswerWaiter(waiter, answer);
  for (const KeyWaiter other : waiters) {
    AnswerWaiter(other, answer);
  }
}

}  // namespace sequoiastage
