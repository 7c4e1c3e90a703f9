#include "ingress_p.h"

#include <algorithm>
#include <utility>

#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kRetryAfterSeconds = 1;
// Pause before a request is passed on again to the owner of its key.
constexpr std::chrono::milliseconds kForwardPause{100};
// Time the owner of a key has to tell its outcome before a refusal.
constexpr std::chrono::milliseconds kOwnerQueryTime{500};
// Time after the start in which members and configuration usually arrive.
constexpr std::chrono::seconds kStartTime{2};
// An early request waits for this part of its time at most.
constexpr int kEarlyWaitShare = 2;

Problem Draining() {
  return {.m_status = 503,
          .m_title = "Shutting down",
          .m_detail = "This node is shutting down; the request was not run.",
          .m_retry_after = kRetryAfterSeconds};
}

Problem TooManyInFlight() {
  return {.m_status = 503,
          .m_title = "Too many requests in flight",
          .m_detail = "The request was not run.",
          .m_retry_after = kRetryAfterSeconds};
}

Problem BadKey(const std::string& reason) {
  return {.m_status = 400,
          .m_title = "Malformed idempotency key",
          .m_detail = "The request was not run: " + reason + "."};
}

std::string KeyTextOf(const HttpRequest& request) {
  const std::string* text = FindField(request.m_fields, kKeyField);
  return text != nullptr ? *text : "";
}

// Answer to bytes that the server refuses before they are a whole request.
HttpResponse RefuseUnread(uint16_t status) {
  return ToAnswer(Problem{.m_status = status,
                          .m_title = std::string(HttpStatusText(status)),
                          .m_detail = "The request was not run."});
}

KeyedAnswer OwnerOutOfReach() {
  const Problem problem{
      .m_status = 504,
      .m_outcome = RequestOutcome::kUnknown,
      .m_title = "Outcome unknown",
      .m_detail =
          "The node that owns the idempotency key can't be reached. The "
          "request may have run.",
      .m_retry_after = kRetryAfterSeconds};
  return {.m_outcome = problem.m_outcome, .m_answer = ToAnswer(problem)};
}

}  // namespace

// One caller's request; answers it once.
class Ingress::Call {
 public:
  Call(Ingress& owner, StreamResponder responder)
      : m_owner(owner), m_responder(std::move(responder)) {
    ++m_owner.m_in_flight;
  }
  ~Call() { --m_owner.m_in_flight; }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Answer(HttpResponse answer, RequestOutcome outcome) {
    m_owner.Count(outcome, m_start);
    m_responder(std::move(answer));
  }

  void Answer(const Problem& problem) {
    ++m_owner.m_stats.m_refused;
    Answer(ToAnswer(problem), problem.m_outcome);
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
          {.m_own = options.m_node,
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
        // Work of a caller that left goes on: it may show its key again.
        return CancelHook();
      }) {
  m_server.SetLimits(m_options.m_http);
  m_server.SetRefusal(RefuseUnread);
}

void Ingress::StartDraining() {
  m_is_draining = true;
  m_server.StartDrain();
}

void Ingress::Stop() {
  m_server.Stop();
  m_transport.CloseAll();
}

void Ingress::SetView(NodeViewPtr view) {
  m_view = view;
  m_runner.SetView(std::move(view));
  AdmitEarly();
}

void Ingress::OnLocalResult(ResultMessage result) {
  m_runner.OnResult(std::move(result));
}

void Ingress::OnRequest(HttpRequest request, StreamResponder responder) {
  ++m_stats.m_requests;
  const auto call = std::make_shared<Call>(*this, std::move(responder));
  if (m_is_draining) {
    Refuse(KeyTextOf(request), Draining(), call);
    return;
  }
  if (m_in_flight > m_options.m_max_in_flight) {
    Refuse(KeyTextOf(request), TooManyInFlight(), call);
    return;
  }
  if (IsEarly(request)) {
    KeepEarly(std::move(request), call);
    return;
  }
  Admit(std::move(request), call, WallNow());
}

bool Ingress::IsEarly(const HttpRequest& request) const {
  if (m_is_draining || Now() - m_start >= kStartTime) {
    return false;
  }
  if (m_view->m_routes == nullptr) {
    return true;
  }
  const Route* route = m_view->m_routes->Find(request.m_host, request.m_target);
  return route != nullptr && !HasInstance(*m_view, route->m_service);
}

void Ingress::KeepEarly(HttpRequest request,
                        const std::shared_ptr<Call>& call) {
  const auto time =
      AskedDeadline(request).value_or(m_options.m_default_deadline);
  m_early.push_back({.m_request = std::move(request),
                     .m_call = call,
                     .m_arrived = WallNow(),
                     .m_wait_until = Now() + time / kEarlyWaitShare});
}

void Ingress::AdmitEarly() {
  const TimePoint now = Now();
  for (EarlyRequest& early : std::exchange(m_early, {})) {
    if (now < early.m_wait_until && IsEarly(early.m_request)) {
      m_early.push_back(std::move(early));
    } else {
      Admit(std::move(early.m_request), early.m_call, early.m_arrived);
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
    problem.m_outcome = OutcomeOfRefusal(*key);
  }
  call->Answer(problem);
}

// Only the owner of a key can tell whether its request ran. Its word comes
// after all that went to it from here, on one connection; so while a request
// with the key waits to be passed on again, nothing is asked.
void Ingress::RefuseAfterQuery(NodeId owner,
                               const std::string& key_text,
                               Problem problem,
                               const std::shared_ptr<Call>& call) {
  problem.m_outcome = RequestOutcome::kUnknown;
  if (IsForwarding(key_text)) {
    call->Answer(problem);
    return;
  }
  const WallTime deadline = WallNow() + kOwnerQueryTime;
  ForwardKeyed(owner,
               {.m_key = key_text,
                .m_deadline_ms = deadline.time_since_epoch().count(),
                .m_is_query = true},
               [call, problem](const KeyedAnswer& answer) mutable {
                 if (answer.m_outcome == RequestOutcome::kNotRun) {
                   problem.m_outcome = RequestOutcome::kNotRun;
                 }
                 call->Answer(problem);
               });
}

bool Ingress::IsForwarding(const std::string& key_text) const {
  return std::any_of(
      m_forwards.begin(), m_forwards.end(), [&key_text](const auto& item) {
        const KeyedRequestMessage& message = item.second->m_message;
        return !message.m_is_query && message.m_key == key_text;
      });
}

// A request with a key may have run when it was shown before; only the ledger
// of its key can tell.
RequestOutcome Ingress::OutcomeOfRefusal(const IdempotencyKey& key) {
  if (key.m_owner != m_options.m_node) {
    return RequestOutcome::kUnknown;
  }
  return m_key_owner.Look(key).m_outcome == RequestOutcome::kNotRun
             ? RequestOutcome::kNotRun
             : RequestOutcome::kUnknown;
}

void Ingress::Admit(HttpRequest request,
                    const std::shared_ptr<Call>& call,
                    WallTime arrived) {
  Problem problem;
  const std::string key_text = KeyTextOf(request);
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
    call->Answer(ToAnswer(std::move(result)), outcome);
  });
}

void Ingress::RunKeyed(CheckedRequest checked,
                       const std::shared_ptr<Call>& call) {
  if (!checked.m_key) {
    AskForKey(call);
    return;
  }
  std::string reason;
  const auto key = ParseKey(*checked.m_key, &reason);
  if (!key) {
    call->Answer(BadKey(reason));
    return;
  }
  const auto done = [call](KeyedAnswer answer) {
    call->Answer(std::move(answer.m_answer), answer.m_outcome);
  };
  if (key->m_owner == m_options.m_node) {
    m_key_owner.Present(*key, checked.m_account, std::move(checked.m_run),
                        done);
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

void Ingress::AskForKey(const std::shared_ptr<Call>& call) {
  const Problem problem{
      .m_status = 428,
      .m_title = "Idempotency key required",
      .m_detail =
          "The request was not run. Send it again with the Idempotency-Key of "
          "this answer."};
  HttpResponse answer = ToAnswer(problem);
  answer.m_fields.push_back({kKeyField, m_key_owner.Issue()});
  call->Answer(std::move(answer), problem.m_outcome);
}

void Ingress::ForwardKeyed(NodeId owner,
                           KeyedRequestMessage message,
                           KeyOwner::Done done) {
  const AttemptId id = m_runner.NextAttempt();
  auto forward = std::make_unique<Forward>(m_io);
  forward->m_owner = owner;
  forward->m_deadline = DeadlineOf(message.m_deadline_ms);
  forward->m_message = std::move(message);
  forward->m_message.m_attempt = id;
  forward->m_done = std::move(done);
  const auto left = forward->m_deadline - WallNow();
  forward->m_timer.expires_after(left);
  forward->m_timer.async_wait([this, id](const asio::error_code& error) {
    if (!error) {
      EndForward(id, OwnerOutOfReach());
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

void Ingress::EndForward(const AttemptId& id, KeyedAnswer answer) {
  const auto it = m_forwards.find(id);
  if (it == m_forwards.end()) {
    return;
  }
  const std::unique_ptr<Forward> forward = std::move(it->second);
  m_forwards.erase(it);
  forward->m_done(std::move(answer));
}

// The owner runs a key at most once however often it is shown, so passing the
// request on again is safe.
void Ingress::RetryForwardsTo(NodeId node) {
  for (const auto& [id, forward] : m_forwards) {
    if (forward->m_owner != node) {
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_after(kForwardPause);
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
    EndForward(reply->m_attempt, {.m_outcome = reply->m_outcome,
                                  .m_answer = std::move(reply->m_answer)});
  }
}

void Ingress::OnTick() {
  AdmitEarly();
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
               reply = std::move(reply)](KeyedAnswer answer) {
    reply({.m_attempt = id,
           .m_outcome = answer.m_outcome,
           .m_answer = std::move(answer.m_answer)});
  };
  std::string reason;
  const auto key = ParseKey(message.m_key, &reason);
  if (!key) {
    done({.m_outcome = RequestOutcome::kNotRun,
          .m_answer = ToAnswer(BadKey(reason))});
    return;
  }
  if (message.m_is_query) {
    done(m_key_owner.Look(*key));
    return;
  }
  Problem problem;
  auto checked = CheckRequest(*m_view, std::move(message.m_request),
                              m_options.m_default_deadline, WallNow(), problem);
  if (!checked) {
    problem.m_outcome = OutcomeOfRefusal(*key);
    done({.m_outcome = problem.m_outcome, .m_answer = ToAnswer(problem)});
    return;
  }
  checked->m_run.m_deadline = DeadlineOf(message.m_deadline_ms);
  m_key_owner.Present(*key, message.m_account, std::move(checked->m_run), done);
}

void Ingress::LookUpOutcome(const std::string& text,
                            std::function<void(HttpResponse)> done) {
  std::string reason;
  const auto key = ParseKey(text, &reason);
  if (!key) {
    done(ToAnswer(BadKey(reason)));
    return;
  }
  if (key->m_owner == m_options.m_node) {
    done(m_key_owner.Look(*key).m_answer);
    return;
  }
  const WallTime deadline = WallNow() + std::chrono::seconds(2);
  ForwardKeyed(key->m_owner,
               {.m_key = text,
                .m_deadline_ms = deadline.time_since_epoch().count(),
                .m_is_query = true},
               [done = std::move(done)](KeyedAnswer answer) {
                 done(std::move(answer.m_answer));
               });
}

void Ingress::Count(RequestOutcome outcome, TimePoint start) {
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
