#ifndef SEQUOIASTAGE_NODE_INGRESS_P_H_
#define SEQUOIASTAGE_NODE_INGRESS_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "caller_request_p.h"
#include "key_owner_p.h"
#include "node_view_p.h"
#include "problem_p.h"
#include "request_metrics_p.h"
#include "request_runner_p.h"
#include "sequoiastage/http/stream_server.h"
#include "transport_p.h"

namespace sequoiastage {

struct IngressOptions {
  NodeId m_node;
  // Source address of connections to other nodes.
  uint32_t m_bind_ip = 0;
  Incarnation m_incarnation;
  Endpoint m_listen;
  StreamLimits m_http;
  // Bytes of callers' requests and responses; see NodeSettings.
  size_t m_max_held_bytes = size_t{64} << 20;
  std::chrono::milliseconds m_default_deadline{10'000};
  uint32_t m_max_in_flight = 4096;
};

struct IngressStats {
  uint64_t m_requests = 0;
  uint64_t m_answered = 0;
  uint64_t m_not_run = 0;
  uint64_t m_unknown = 0;
  uint64_t m_refused = 0;
  RunnerStats m_runner;
  KeyLedgerStats m_keys;
};

// Receives callers' requests and responds to each exactly once. Owned by the
// ingress thread.
class Ingress {
 public:
  using KeyedReply = std::function<void(KeyedReplyMessage)>;

  Ingress(asio::io_context& io,
          const IngressOptions& options,
          Transport::LocalSender local_egress);

  bool Start() {
    m_server.SetBudget(
        std::make_shared<ByteBudget>(m_options.m_max_held_bytes));
    return m_server.Start(m_options.m_listen);
  }
  void Stop();
  const std::string& LastReason() const { return m_server.LastReason(); }

  void SetView(NodeViewPtr view);

  // Refuses callers' requests from now on, with a Retry-After.
  void StartDraining();

  // Stops accepting connections. Requests that were sent before still receive a
  // response; idle connections are closed.
  void StopAccepting() { m_server.Stop(); }

  // Responds to all requests that still wait.
  void EndAll();

  // Runs periodic work; call every 50 ms.
  void OnTick();

  // Handles a result from the own egress.
  void OnLocalResult(ResultMessage result);

  // Handles a request forwarded by another node because this node owns its key.
  void OnKeyedRequest(KeyedRequestMessage message, KeyedReply reply);

  // Looks up the outcome of the request with key `text` at the owner of the
  // key.
  void LookUpOutcome(const std::string& text,
                     std::function<void(HttpResponse)> done);

  // Callers' requests without a response, and executions, including those for
  // callers of other nodes.
  size_t InFlight() const { return m_in_flight + m_runner.InFlight(); }
  IngressStats Stats() const;
  std::vector<MetricFamily> Metrics() const { return m_metrics.Collect(); }

 private:
  // A request forwarded to the owner of its key.
  struct ForwardedRequest {
    explicit ForwardedRequest(asio::io_context& io) : m_timer(io) {}

    NodeId m_owner;
    KeyedRequestMessage m_message;
    asio::steady_timer m_timer;
    KeyOwner::Done m_done;
    WallTime m_deadline;
  };

  class Call;

  // A request received during startup, before an instance for it was
  // discovered.
  struct StartupRequest {
    HttpRequest m_request;
    std::shared_ptr<Call> m_call;
    WallTime m_arrived;
    // Executed or refused at this time at the latest.
    TimePoint m_wait_until;
  };

  void OnRequest(HttpRequest request, StreamResponder responder);
  // Refuses a request. `key_text` is empty when it has no key.
  void Refuse(const std::string& key_text,
              Problem problem,
              const std::shared_ptr<Call>& call);
  // As Refuse(), for a key that `owner` issued: queries its outcome there
  // first.
  void RefuseAfterQuery(NodeId owner,
                        const std::string& key_text,
                        Problem problem,
                        const std::shared_ptr<Call>& call);
  // True while a forwarded request with the key has no reply.
  bool IsForwarding(const std::string& key_text) const;
  RequestOutcome GetRefusalOutcome(const IdempotencyKey& key);
  // True during startup while no configuration is active or no instance for the
  // request is in service.
  bool ShouldAwaitDiscovery(const HttpRequest& request) const;
  void AddStartupRequest(HttpRequest request,
                         const std::shared_ptr<Call>& call);
  void AdmitStartupRequests();
  void Admit(HttpRequest request,
             const std::shared_ptr<Call>& call,
             WallTime arrived);
  void RunKeyed(CheckedRequest checked, const std::shared_ptr<Call>& call);
  void RequireKey(const std::shared_ptr<Call>& call);
  void ForwardKeyed(NodeId owner,
                    KeyedRequestMessage message,
                    KeyOwner::Done done);
  void SendForward(const AttemptId& id);
  void CompleteForward(const AttemptId& id, KeyedResponse response);
  void RetryForwardsTo(NodeId node);
  void OnPeerMessage(NodeId from, Message message);
  void OnNotSent(NodeId node, const std::vector<Message>& messages);
  void RecordOutcome(RequestOutcome outcome, TimePoint start);

  asio::io_context& m_io;
  IngressOptions m_options;
  Transport m_transport;
  RequestRunner m_runner;
  KeyOwner m_key_owner;
  StreamServer m_server;
  // Empty until the control thread publishes the first view.
  NodeViewPtr m_view = std::make_shared<const NodeView>();
  const TimePoint m_start = Now();
  std::vector<StartupRequest> m_startup_requests;
  std::unordered_map<AttemptId, std::unique_ptr<ForwardedRequest>> m_forwards;
  size_t m_in_flight = 0;
  bool m_is_draining = false;
  IngressStats m_stats;
  RequestMetrics m_metrics;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_INGRESS_P_H_
