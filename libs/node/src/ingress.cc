#include "ingress_p.h"

#include <algorithm>
#include <utility>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kRetryAfterSeconds = 1;
// Delay before a request is forwarded again to the owner of its key.
constexpr std::chrono::milliseconds kForwardRetryDelay{100};
// Time for the owner of a key to report its outcome before a refusal.
constexpr std::chrono::milliseconds kOwnerQueryTimeout{500};
// Time after the start in which members and configuration usually are received.
constexpr std::chrono::seconds kDiscoveryTime{2};
// A startup request waits for at most its deadline divided by this.
constexpr int kStartupWaitDivisor = 2;

Problem BuildDrainingProblem() {
  return {.m_status = 503,
          .m_title = "Shutting down",
          .m_detail = "This node is shutting down; the request was not run.",
          .m_retry_after = kRetryAfterSeconds};
}

Problem BuildTooManyInFlightProblem() {
  return {.m_status = 503,
          .m_title = "Too many requests in flight",
          .m_detail = "The request was not run.",
          .m_retry_after = kRetryAfterSeconds};
}

Problem BuildMalformedKeyProblem(const std::string& reason) {
  return {.m_status = 400,
          .m_title = "Malformed idempotency key",
          .m_detail = "The request was not run: " + reason + "."};
}

std::string GetKeyText(const HttpRequest& request) {
  const std::string* text = FindField(request.m_fields, kKeyField);
  return text != nullptr ? *text : "";
}

// Response to input that is rejected before a complete request is parsed.
HttpResponse BuildParseErrorResponse(uint16_t status) {
  return ToResponse(Problem{.m_status = status,
                            .m_title = std::string(HttpStatusText(status)),
                            .m_detail = "The request was not run."});
}

KeyedResponse BuildOwnerUnreachableResponse() {
  const Problem problem{
      .m_status = 504,
      .m_outcome = RequestOutcome::kUnknown,
      .m_title = "Outcome unknown",
      .m_detail =
          "The node that owns the idempotency key can't be reached. The "
          "request may have run.",
      .m_retry_after = kRetryAfterSeconds};
  return {.m_outcome = problem.m_outcome, .m_response = ToResponse(problem)};
}

}  // namespace

// One caller's request, which receives exactly one response.
class Ingress::Call {
 public:
  Call(Ingress& owner, StreamResponder responder)
      : m_owner(owner), m_responder(std::move(responder)) {
    ++m_owner.m_in_flight;
  }
  ~Call() { --m_owner.m_in_flight; }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Respond(HttpResponse response, RequestOutcome outcome) {
    m_owner.RecordOutcome(outcome, m_start);
    m_responder(std::move(response));
  }

  void Respond(const Problem& problem) {
    ++m_owner.m_stats.m_refused;
    Respond(ToResponse(problem), problem.m_outcome);
  }

 private:
  Ingress& m_owner;
  StreamResponder m_responder;
  const TimePoint m_start = Now();
};

Ingress::Ingress(asio::io_context& io,
                 const IngressOptions& options,
                 Transport::LocalSender local_egress)
    : m_io(io),
      m_options(options),
      m_transport(
          io,
          {.m_local_node = options.m_node,
           .m_incarnation = options.m_incarnation,
           .m_bind_ip = options.m_bind_ip},
          {.m_on_message =
               [this](NodeId from, Message message) {
                 OnPeerMessage(from, std::move(message));
               },
           .m_on_connect_failed =
               [this](NodeId node, const std::vector<Message>& messages) {
                 OnNotSent(node, messages);
               },
           .m_on_lost =
               [this](NodeId node, const std::string& reason) {
                 LogEvent(LogLevel::kInfo, "peer_link_lost")
                     .Add("peer", ToString(node))
                     .Add("reason", reason);
                 m_runner.OnConnectionFailed(node);
                 m_runner.OnLinkLost(node);
                 RetryForwardsTo(node);
               }},
          std::move(local_egress)),
      m_runner(
          io,
          {.m_node = options.m_node, .m_incarnation = options.m_incarnation},
          m_transport),
      m_key_owner(io, options.m_node, options.m_incarnation, m_runner),
      m_server(io, [this](HttpRequest request, StreamResponder responder) {
        OnRequest(std::move(request), std::move(responder));
        // Execution continues after the caller disconnects: it may retry with
        // the same key.
        return CancelHook();
      }) {
  m_server.SetLimits(m_options.m_http);
  m_server.SetErrorResponseBuilder(BuildParseErrorResponse);
}

void Ingress::StartDraining() {
  m_is_draining = true;
  m_server.StartDrain();
}

void Ingress::EndAll() {
  for (const StartupRequest& waiting : std::exchange(m_startup_requests, {})) {
    waiting.m_call->Respond(BuildDrainingProblem());
  }
  m_runner.EndAll();
  for (const auto& [id, forward] : std::exchange(m_forwards, {})) {
    forward->m_done(BuildOwnerUnreachableResponse());
  }
}

void Ingress::Stop() {
  m_server.Stop();
  m_transport.CloseAll();
}

void Ingress::SetView(NodeViewPtr view) {
  m_view = view;
  m_runner.SetView(std::move(view));
  AdmitStartupRequests();
}

void Ingress::OnLocalResult(ResultMessage result) {
  m_runner.OnResult(std::move(result));
}

void Ingress::OnRequest(HttpRequest request, StreamResponder responder) {
  ++m_stats.m_requests;
  const auto call = std::make_shared<Call>(*this, std::move(responder));
  if (m_is_draining) {
    Refuse(GetKeyText(request), BuildDrainingProblem(), call);
    return;
  }
  if (m_in_flight > m_options.m_max_in_flight) {
    Refuse(GetKeyText(request), BuildTooManyInFlightProblem(), call);
    return;
  }
  if (ShouldAwaitDiscovery(request)) {
    AddStartupRequest(std::move(request), call);
    return;
  }
  Admit(std::move(request), call, WallNow());
}

bool Ingress::ShouldAwaitDiscovery(const HttpRequest& request) const {
  if (m_is_draining || Now() - m_start >= kDiscoveryTime) {
    return false;
  }
  if (m_view->m_routes == nullptr) {
    return true;
  }
  const Route* route = m_view->m_routes->Find(request.m_host, request.m_target);
  return route != nullptr && !HasAvailableInstance(*m_view, route->m_service);
}

void Ingress::AddStartupRequest(HttpRequest request,
                                const std::shared_ptr<Call>& call) {
  const auto time =
      GetRequestedDeadline(request).value_or(m_options.m_default_deadline);
  m_startup_requests.push_back(
      {.m_request = std::move(request),
       .m_call = call,
       .m_arrived = WallNow(),
       .m_wait_until = Now() + time / kStartupWaitDivisor});
}

void Ingress::AdmitStartupRequests() {
  const TimePoint now = Now();
  for (StartupRequest& startup_request :
       std::exchange(m_startup_requests, {})) {
    if (now < startup_request.m_wait_until &&
        ShouldAwaitDiscovery(startup_request.m_request)) {
      m_startup_requests.push_back(std::move(startup_request));
    } else {
      Admit(std::move(startup_request.m_request), startup_request.m_call,
            startup_request.m_arrived);
    }
  }
}

void Ingress::Refuse(const std::string& key_text,
                     Problem problem,
                     const std::shared_ptr<Call>& call) {
  const auto key = ParseKey(key_text, nullptr);
  if (key && m_is_draining && key->m_owner != m_options.m_node) {
    RefuseAfterQuery(key->m_owner, key_text, std::move(problem), call);
    return;
  }
  if (key) {
    problem.m_outcome = GetRefusalOutcome(*key);
  }
  call->Respond(problem);
}

// Only the owner of a key can determine whether its request ran. It handles a
// query after all messages sent earlier on the same connection, but not after a
// forwarded request that awaits a retry; so the query is skipped while a
// request with the key is being forwarded.
void Ingress::RefuseAfterQuery(NodeId owner,
                               const std::string& key_text,
                               Problem problem,
                               const std::shared_ptr<Call>& call) {
  problem.m_outcome = RequestOutcome::kUnknown;
  if (IsForwarding(key_text)) {
    call->Respond(problem);
    return;
  }
  const WallTime deadline = WallNow() + kOwnerQueryTimeout;
  ForwardKeyed(owner,
               {.m_key = key_text,
                .m_deadline_ms = deadline.time_since_epoch().count(),
                .m_is_query = true},
               [call, problem](const KeyedResponse& response) mutable {
                 if (response.m_outcome == RequestOutcome::kNotRun) {
                   problem.m_outcome = RequestOutcome::kNotRun;
                 }
                 call->Respond(problem);
               });
}

bool Ingress::IsForwarding(const std::string& key_text) const {
  return std::any_of(
      m_forwards.begin(), m_forwards.end(), [&key_text](const auto& item) {
        const KeyedRequestMessage& message = item.second->m_message;
        return !message.m_is_query && message.m_key == key_text;
      });
}

// A request with a key may have run on an earlier submission; only the ledger
// of the key's owner records this.
RequestOutcome Ingress::GetRefusalOutcome(const IdempotencyKey& key) {
  if (key.m_owner != m_options.m_node) {
    return RequestOutcome::kUnknown;
  }
  return m_key_owner.LookUp(key).m_outcome == RequestOutcome::kNotRun
             ? RequestOutcome::kNotRun
             : RequestOutcome::kUnknown;
}

void Ingress::Admit(HttpRequest request,
                    const std::shared_ptr<Call>& call,
                    WallTime arrived) {
  Problem problem;
  const std::string key_text = GetKeyText(request);
  auto checked = CheckRequest(*m_view, std::move(request),
                              m_options.m_default_deadline, arrived, problem);
  if (!checked) {
    Refuse(key_text, std::move(problem), call);
    return;
  }
  if (!checked->m_run.m_is_idempotent) {
    RunKeyed(std::move(*checked), call);
    return;
  }
  m_runner.Run(std::move(checked->m_run), [call](RunResult result) {
    const RequestOutcome outcome = result.m_outcome;
    call->Respond(ToResponse(std::move(result)), outcome);
  });
}

void Ingress::RunKeyed(CheckedRequest checked,
                       const std::shared_ptr<Call>& call) {
  if (!checked.m_key) {
    RequireKey(call);
    return;
  }
  std::string reason;
  const auto key = ParseKey(*checked.m_key, &reason);
  if (!key) {
    call->Respond(BuildMalformedKeyProblem(reason));
    return;
  }
  const auto done = [call](KeyedResponse response) {
    call->Respond(std::move(response.m_response), response.m_outcome);
  };
  if (key->m_owner == m_options.m_node) {
    m_key_owner.Submit(*key, checked.m_account, std::move(checked.m_run), done);
    return;
  }
  const auto deadline_ms = checked.m_run.m_deadline.time_since_epoch().count();
  ForwardKeyed(key->m_owner,
               {.m_key = std::move(*checked.m_key),
                .m_account = std::move(checked.m_account),
                .m_deadline_ms = deadline_ms,
                .m_request = std::move(checked.m_run.m_request)},
               done);
}

void Ingress::RequireKey(const std::shared_ptr<Call>& call) {
  const Problem problem{
      .m_status = 428,
      .m_title = "Idempotency key required",
      .m_detail =
          "The request was not run. Send it again with the Idempotency-Key of "
          "this answer."};
  HttpResponse response = ToResponse(problem);
  response.m_fields.push_back({kKeyField, m_key_owner.Issue()});
  call->Respond(std::move(response), problem.m_outcome);
}

void Ingress::ForwardKeyed(NodeId owner,
                           KeyedRequestMessage message,
                           KeyOwner::Done done) {
  const AttemptId id = m_runner.NextAttempt();
  auto forward = std::make_unique<ForwardedRequest>(m_io);
  forward->m_owner = owner;
  forward->m_deadline = DeadlineFromMs(message.m_deadline_ms);
  forward->m_message = std::move(message);
  forward->m_message.m_attempt = id;
  forward->m_done = std::move(done);
  const auto left = forward->m_deadline - WallNow();
  forward->m_timer.expires_after(left);
  forward->m_timer.async_wait([this, id](const asio::error_code& error) {
    if (!error) {
      CompleteForward(id, BuildOwnerUnreachableResponse());
    }
  });
  m_forwards.emplace(id, std::move(forward));
  SendForward(id);
}

void Ingress::SendForward(const AttemptId& id) {
  const auto it = m_forwards.find(id);
  if (it != m_forwards.end()) {
    m_transport.Send(it->second->m_owner, it->second->m_message);
  }
}

void Ingress::CompleteForward(const AttemptId& id, KeyedResponse response) {
  const auto it = m_forwards.find(id);
  if (it == m_forwards.end()) {
    return;
  }
  const std::unique_ptr<ForwardedRequest> forward = std::move(it->second);
  m_forwards.erase(it);
  forward->m_done(std::move(response));
}

// The owner executes a key at most once regardless of the number of
// submissions, so forwarding the request again is safe.
void Ingress::RetryForwardsTo(NodeId node) {
  for (const auto& [id, forward] : m_forwards) {
    if (forward->m_owner != node) {
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_after(kForwardRetryDelay);
    timer->async_wait([this, timer, id = id](const asio::error_code& error) {
      if (!error) {
        SendForward(id);
      }
    });
  }
}

void Ingress::OnPeerMessage(NodeId from, Message message) {
  m_runner.OnFrame(from);
  if (auto* result = std::get_if<ResultMessage>(&message)) {
    m_runner.OnResult(std::move(*result));
  } else if (auto* reply = std::get_if<KeyedReplyMessage>(&message)) {
    CompleteForward(reply->m_attempt,
                    {.m_outcome = reply->m_outcome,
                     .m_response = std::move(reply->m_response)});
  }
}

void Ingress::OnTick() {
  AdmitStartupRequests();
  for (const NodeId peer : m_runner.OnTick()) {
    m_transport.Send(peer,
                     HelloMessage{.m_node = m_options.m_node,
                                  .m_incarnation = m_options.m_incarnation});
  }
}

void Ingress::OnNotSent(NodeId node, const std::vector<Message>& messages) {
  m_runner.OnConnectionFailed(node);
  for (const Message& message : messages) {
    m_runner.OnNotSent(message);
  }
  RetryForwardsTo(node);
}

void Ingress::OnKeyedRequest(KeyedRequestMessage message, KeyedReply reply) {
  auto done = [id = message.m_attempt,
               reply = std::move(reply)](KeyedResponse response) {
    reply({.m_attempt = id,
           .m_outcome = response.m_outcome,
           .m_response = std::move(response.m_response)});
  };
  std::string reason;
  const auto key = ParseKey(message.m_key, &reason);
  if (!key) {
    done({.m_outcome = RequestOutcome::kNotRun,
          .m_response = ToResponse(BuildMalformedKeyProblem(reason))});
    return;
  }
  if (message.m_is_query) {
    done(m_key_owner.LookUp(*key));
    return;
  }
  Problem problem;
  auto checked = CheckRequest(*m_view, std::move(message.m_request),
                              m_options.m_default_deadline, WallNow(), problem);
  if (!checked) {
    problem.m_outcome = GetRefusalOutcome(*key);
    done({.m_outcome = problem.m_outcome, .m_response = ToResponse(problem)});
    return;
  }
  checked->m_run.m_deadline = DeadlineFromMs(message.m_deadline_ms);
  m_key_owner.Submit(*key, message.m_account, std::move(checked->m_run), done);
}

void Ingress::LookUpOutcome(const std::string& text,
                            std::function<void(HttpResponse)> done) {
  std::string reason;
  const auto key = ParseKey(text, &reason);
  if (!key) {
    done(ToResponse(BuildMalformedKeyProblem(reason)));
    return;
  }
  if (key->m_owner == m_options.m_node) {
    done(m_key_owner.LookUp(*key).m_response);
    return;
  }
  const WallTime deadline = WallNow() + std::chrono::seconds(2);
  ForwardKeyed(key->m_owner,
               {.m_key = text,
                .m_deadline_ms = deadline.time_since_epoch().count(),
                .m_is_query = true},
               [done = std::move(done)](KeyedResponse response) {
                 done(std::move(response.m_response));
               });
}

void Ingress::RecordOutcome(RequestOutcome outcome, TimePoint start) {
  const TimePoint now = Now();
  m_metrics.Observe(outcome, now - start, now);
  switch (outcome) {
    case RequestOutcome::kAnswered:
      ++m_stats.m_answered;
      break;
    case RequestOutcome::kNotRun:
      ++m_stats.m_not_run;
      break;
    case RequestOutcome::kUnknown:
      ++m_stats.m_unknown;
      break;
  }
}

IngressStats Ingress::Stats() const {
  IngressStats stats = m_stats;
  stats.m_runner = m_runner.Stats();
  stats.m_keys = m_key_owner.Stats();
  return stats;
}

}  // namespace sequoiastage
