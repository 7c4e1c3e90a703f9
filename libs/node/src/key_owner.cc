#include "key_owner_p.h"

#include <utility>

#include "caller_request_p.h"
#include "stored_message_p.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kRetryAfterSeconds = 1;
// Time after the caller's deadline in which the outcome of a started attempt is
// accepted. The egress uses a slightly shorter time.
constexpr std::chrono::seconds kLingerTime{6};

StoredResponse EncodeResponse(const KeyedResponse& response) {
  return EncodeStoredMessage(KeyedReplyMessage{
      .m_outcome = response.m_outcome, .m_response = response.m_response});
}

KeyedResponse DecodeResponse(const StoredResponse& stored) {
  auto reply = DecodeStoredMessage<KeyedReplyMessage>(stored);
  return reply ? KeyedResponse{.m_outcome = reply->m_outcome,
                               .m_response = std::move(reply->m_response)}
               : KeyedResponse{};
}

KeyedResponse BuildResponse(const Problem& problem) {
  return {.m_outcome = problem.m_outcome, .m_response = ToResponse(problem)};
}

KeyedResponse BuildUnknownResponse(const std::string& detail) {
  return BuildResponse({.m_status = 409,
                        .m_outcome = RequestOutcome::kUnknown,
                        .m_title = "Outcome unknown",
                        .m_detail = detail});
}

// Response at the caller's deadline to a request that is still running.
KeyedResponse BuildStillRunningResponse() {
  return BuildResponse(
      {.m_status = 504,
       .m_outcome = RequestOutcome::kUnknown,
       .m_title = "Still running",
       .m_detail = "No answer came in time. Show the same key again to "
                   "learn the outcome.",
       .m_retry_after = kRetryAfterSeconds});
}

// Response for a key whose request is neither executed nor waited for.
KeyedResponse BuildKeyResponse(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kResponseDropped:
      return BuildUnknownResponse(
          "The request ran and was answered; the answer is no longer kept.");
    case KeyVerdict::kMismatch:
      return BuildResponse(
          {.m_status = 422,
           .m_title = "Key of another request",
           .m_detail = "This idempotency key was used with another request."});
    case KeyVerdict::kForged:
      return BuildResponse(
          {.m_status = 422,
           .m_title = "Unknown key",
           .m_detail = "This idempotency key was issued by no node."});
    case KeyVerdict::kExpired:
      return BuildUnknownResponse(
          "The key has expired. The request may have run and is not run "
          "again.");
    case KeyVerdict::kFull:
      return BuildResponse({.m_status = 503,
                            .m_title = "Too many keys in use",
                            .m_detail = "The request was not run.",
                            .m_retry_after = kRetryAfterSeconds});
    case KeyVerdict::kUnused:
      return BuildResponse({.m_status = 404,
                            .m_title = "Key not used",
                            .m_detail = "No request was run under this key."});
    case KeyVerdict::kAnswered:
      return BuildResponse(
          {.m_status = 200,
           .m_outcome = RequestOutcome::kAnswered,
           .m_title = "Answered",
           .m_detail = "The request was run and answered; the answer is given "
                       "to who sends the request again."});
    case KeyVerdict::kWait:
      return BuildResponse({.m_status = 202,
                            .m_outcome = RequestOutcome::kUnknown,
                            .m_title = "Running",
                            .m_detail = "The request is running."});
    default:
      return BuildUnknownResponse(
          "The request may have run and is not run again.");
  }
}

}  // namespace

HttpResponse ToResponse(RunResult result) {
  const std::string explanation(Explain(result.m_reason));
  const auto retry_after = static_cast<uint32_t>(result.m_retry_after.count());
  switch (result.m_outcome) {
    case RequestOutcome::kAnswered:
      RemoveConnectionFields(result.m_response.m_fields);
      result.m_response.m_fields.push_back(
          {kOutcomeField, std::string(ToString(result.m_outcome))});
      return std::move(result.m_response);
    case RequestOutcome::kNotRun:
      return ToResponse(
          Problem{.m_status = 503,
                  .m_title = "Not run",
                  .m_detail = "The request was not run: " + explanation + ".",
                  .m_retry_after = retry_after,
                  .m_reason = result.m_reason});
    case RequestOutcome::kUnknown:
      break;
  }
  return ToResponse(Problem{.m_status = 504,
                            .m_outcome = RequestOutcome::kUnknown,
                            .m_title = "Outcome unknown",
                            .m_detail = "No whole answer came: " + explanation +
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

void KeyOwner::Submit(const IdempotencyKey& key,
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
      StartRun(key, std::move(request), waiter);
      return;
    case KeyVerdict::kWait:
      AddWaiter(waiter, key, request.m_deadline, done);
      return;
    case KeyVerdict::kAnswered:
      done(DecodeResponse(decision.m_response));
      return;
    default:
      done(BuildKeyResponse(decision.m_verdict));
  }
}

KeyedResponse KeyOwner::LookUp(const IdempotencyKey& key) {
  return BuildKeyResponse(m_ledger.LookUp(m_issuer, key, WallNow()).m_verdict);
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
      CompleteWaiter(waiter, BuildStillRunningResponse());
    }
  });
  m_waiters.emplace(waiter, Waiter{.m_done = done, .m_timer = timer});
}

void KeyOwner::CompleteWaiter(KeyWaiter waiter, KeyedResponse response) {
  const auto it = m_waiters.find(waiter);
  if (it == m_waiters.end()) {
    return;
  }
  const Waiter completed = std::move(it->second);
  m_waiters.erase(it);
  completed.m_timer->cancel();
  completed.m_done(std::move(response));
}

void KeyOwner::StartRun(const IdempotencyKey& key,
                        RunRequest request,
                        KeyWaiter waiter) {
  request.m_linger = kLingerTime;
  m_runner.Run(std::move(request), [this, key, waiter](RunResult result) {
    OnRunFinished(key, std::move(result), waiter);
  });
}

void KeyOwner::OnRunFinished(const IdempotencyKey& key,
                             RunResult result,
                             KeyWaiter waiter) {
  KeyedResponse response{.m_outcome = result.m_outcome};
  response.m_response = ToResponse(std::move(result));
  const bool is_stored = response.m_outcome == RequestOutcome::kAnswered;
  const std::vector<KeyWaiter> waiters = m_ledger.Resolve(
      key, response.m_outcome, is_stored ? EncodeResponse(response) : nullptr);
  CompleteWaiter(waiter, response);
  for (const KeyWaiter other : waiters) {
    CompleteWaiter(other, response);
  }
}

}  // namespace sequoiastage
