#include "sequoiastage/node/node.h"
#include "sequoiastage/base/process_memory.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <thread>
#include <utility>

#include "control_p.h"
#include "egress_p.h"
#include "ingress_p.h"
#include "peer_server_p.h"
#include "sequoiastage/logging/log_event.h"

namespace sequoiastage {

namespace {

constexpr std::chrono::milliseconds kEgressTickInterval{100};
constexpr std::chrono::milliseconds kIngressTickInterval{50};
// Egress ticks per report to the control thread.
constexpr int kTicksPerReport = 2;
constexpr std::chrono::milliseconds kDrainPollInterval{50};
// After a drain starts, new requests are refused with a response for this long.
// Then no more connections are accepted and open ones are marked for closing.
constexpr std::chrono::seconds kDrainRefusalPeriod{2};
// A drain ends once no request has arrived or been in flight for this long.
constexpr std::chrono::milliseconds kDrainQuietPeriod{500};
// Applies to the header of a request and again to its body; a body of 2 MiB
// needs 1.7 Mbit/s to arrive in this time.
constexpr std::chrono::seconds kHeaderTimeout{10};
constexpr std::chrono::seconds kIdleTimeout{60};
// Limit of the memory for callers' request bodies, in bodies of the maximum
// size, so that one caller with a large body does not block the others.
constexpr size_t kMaxBufferedBodies = 16;
// Time for the gossip of the departure and the last responses to be sent before
// the process exits.
constexpr std::chrono::milliseconds kDepartureTime{300};

// Uses the wall clock, so that later runs of the node have greater values.
Incarnation MakeIncarnation(Incarnation after) {
  const auto now = static_cast<uint64_t>(WallNow().time_since_epoch().count());
  return Incarnation(std::max(now, after.Get() + 1));
}

IngressOptions MakeIngressOptions(const NodeSettings& settings,
                                  Incarnation incarnation) {
  return {
      .m_node = NodeId(settings.m_peer),
      .m_bind_ip = PeerBindEndpoint(settings).m_ip,
      .m_incarnation = incarnation,
      .m_listen = settings.m_listen,
      .m_http = {.m_message = {.m_max_header_bytes =
                                   settings.m_max_header_bytes,
                               .m_max_body_bytes = settings.m_max_body_bytes},
                 .m_header_timeout = kHeaderTimeout,
                 .m_idle_timeout = kIdleTimeout,
                 .m_max_held_bytes =
                     kMaxBufferedBodies * size_t{settings.m_max_body_bytes},
                 .m_max_connections = settings.m_max_connections > 0
                                          ? settings.m_max_connections
                                          : MaxDescriptors() / 2},
      .m_max_held_bytes = settings.m_max_held_bytes,
      .m_default_deadline = settings.m_default_deadline,
      .m_max_in_flight = settings.m_max_in_flight};
}

}  // namespace

class Node::Impl {
 public:
  Impl(NodeSettings settings, Incarnation after)
      : m_settings(std::move(settings)),
        m_incarnation(MakeIncarnation(after)),
        m_egress(m_egress_io, m_incarnation),
        m_peer_server(
            m_egress_io,
            NodeId(m_settings.m_peer),
            m_incarnation,
            [this](const PeerServer::Connection& from, Message message) {
              OnPeerMessage(from, std::move(message));
            }),
        m_egress_tick(m_egress_io),
        m_ingress(
            m_ingress_io,
            MakeIngressOptions(m_settings, m_incarnation),
            [this](Message message) { OnLocalMessage(std::move(message)); }),
        m_ingress_tick(m_ingress_io),
        m_control(m_control_io, m_settings, m_incarnation, MakeOutputs()),
        m_signals(m_control_io, SIGTERM, SIGINT),
        m_drain_timer(m_control_io) {}

  bool Start() {
    if (!m_peer_server.Start(PeerBindEndpoint(m_settings))) {
      m_last_reason = "peer TCP: " + m_peer_server.LastReason();
      return false;
    }
    if (!m_control.Start()) {
      m_last_reason = m_control.LastReason();
      return false;
    }
    if (!m_ingress.Start()) {
      m_last_reason = "listen: " + m_ingress.LastReason();
      return false;
    }
    ArmEgressTick();
    ArmIngressTick();
    m_signals.async_wait([this](const asio::error_code& error, int signal) {
      if (!error) {
        m_superseded_by.reset();
        BeginDrain("signal " + std::to_string(signal));
      }
    });
    return true;
  }

  bool Run() {
    LogEvent(LogLevel::kInfo, "node_ready")
        .Add("listen", ToString(m_settings.m_listen))
        .Add("peer", ToString(m_settings.m_peer))
        .Add("incarnation", static_cast<int64_t>(m_incarnation.Get()));
    std::thread ingress([this] { m_ingress_io.run(); });
    std::thread egress([this] { m_egress_io.run(); });
    m_control_io.run();
    ingress.join();
    egress.join();
    LogEvent(LogLevel::kInfo, "node_stopped")
        .Add("in_flight", static_cast<int64_t>(m_in_flight_at_stop));
    return m_in_flight_at_stop == 0;
  }

  const std::string& LastReason() const { return m_last_reason; }
  std::optional<Incarnation> SupersededBy() const { return m_superseded_by; }

 private:
  Control::Outputs MakeOutputs() {
    return {
        .m_on_view =
            [this](NodeViewPtr view) {
              asio::post(m_ingress_io, [this, view = std::move(view)] {
                m_ingress.SetView(view);
              });
            },
        .m_on_instances =
            [this](std::vector<LocalInstance> instances) {
              asio::post(m_egress_io, [this, instances = std::move(instances)] {
                m_egress.SetInstances(instances);
              });
            },
        .m_on_baseline =
            [this](InstanceId instance, const PeerBaseline& baseline) {
              asio::post(m_egress_io, [this, instance, baseline] {
                m_egress.SetBaseline(instance, baseline);
              });
            },
        .m_on_sibling_loads =
            [this](ServiceId service, std::vector<InstanceLoad> loads) {
              asio::post(m_egress_io,
                         [this, service, loads = std::move(loads)]() mutable {
                           m_egress.SetSiblings(service, std::move(loads));
                         });
            },
        .m_on_superseded = [this](Incarnation other) { OnSuperseded(other); },
        .m_look_up_key =
            [this](const std::string& key,
                   std::function<void(HttpResponse)> done) {
              LookUpKey(key, std::move(done));
            }};
  }

  // Runs on the control thread, queries the ingress thread and calls `done` on
  // the control thread.
  void LookUpKey(const std::string& key,
                 std::function<void(HttpResponse)> done) {
    asio::post(m_ingress_io, [this, key, done = std::move(done)] {
      m_ingress.LookUpOutcome(key, [this, done](HttpResponse response) {
        asio::post(m_control_io,
                   [done, response = std::move(response)]() mutable {
                     done(std::move(response));
                   });
      });
    });
  }

  // Runs on the ingress thread; the result returns there from the local egress.
  void OnLocalMessage(Message message) {
    asio::post(m_egress_io, [this, message = std::move(message)]() mutable {
      RunAtEgress(std::move(message), [this](ResultMessage result) {
        asio::post(m_ingress_io, [this, result = std::move(result)]() mutable {
          m_ingress.OnLocalResult(std::move(result));
        });
      });
    });
  }

  void RunAtEgress(Message message, Egress::Reply reply) {
    if (auto* dispatch = std::get_if<DispatchMessage>(&message)) {
      m_egress.Dispatch(std::move(*dispatch), std::move(reply));
    } else if (const auto* query = std::get_if<QueryMessage>(&message)) {
      m_egress.Query(*query, std::move(reply));
    }
  }

  void OnPeerMessage(const PeerServer::Connection& from, Message message) {
    if (auto* keyed = std::get_if<KeyedRequestMessage>(&message)) {
      ForwardToKeyOwner(from, std::move(*keyed));
      return;
    }
    if (const auto* request = std::get_if<ConfigRequestMessage>(&message)) {
      ReplyToConfigRequest(from, *request);
      return;
    }
    if (std::holds_alternative<HelloMessage>(message)) {
      // The immediate reply shows the peer that the path works.
      from->Send(HelloMessage{.m_node = NodeId(m_settings.m_peer),
                              .m_incarnation = m_incarnation});
      return;
    }
    RunAtEgress(std::move(message), [from](ResultMessage result) {
      from->Send(std::move(result));
    });
  }

  // Runs on the egress thread; the control thread builds the reply.
  void ReplyToConfigRequest(const PeerServer::Connection& from,
                            const ConfigRequestMessage& request) {
    asio::post(m_control_io, [this, from, request] {
      asio::post(m_egress_io, [from, reply = m_control.BuildConfigReply(
                                         request)] { from->Send(reply); });
    });
  }

  void ForwardToKeyOwner(const PeerServer::Connection& from,
                         KeyedRequestMessage message) {
    auto reply = [this, from](KeyedReplyMessage result) {
      asio::post(m_egress_io, [from, result = std::move(result)]() mutable {
        from->Send(std::move(result));
      });
    };
    asio::post(m_ingress_io, [this, message = std::move(message),
                              reply = std::move(reply)]() mutable {
      m_ingress.OnKeyedRequest(std::move(message), std::move(reply));
    });
  }

  void ArmEgressTick() {
    m_egress_tick.expires_after(kEgressTickInterval);
    m_egress_tick.async_wait([this](const asio::error_code& error) {
      if (!error) {
        OnEgressTick();
        ArmEgressTick();
      }
    });
  }

  void ArmIngressTick() {
    m_ingress_tick.expires_after(kIngressTickInterval);
    m_ingress_tick.async_wait([this](const asio::error_code& error) {
      if (!error) {
        m_ingress.OnTick();
        ArmIngressTick();
      }
    });
  }

  void OnEgressTick() {
    m_egress.Tick();
    if (++m_egress_ticks % kTicksPerReport != 0) {
      return;
    }
    asio::post(m_control_io, [this, reports = m_egress.Reports()] {
      m_control.OnReports(reports);
    });
    CollectTraffic();
  }

  // Collects the counters of the egress, then those of the ingress, and passes
  // both to the control thread.
  void CollectTraffic() {
    TrafficStats traffic{.m_egress = m_egress.Stats(),
                         .m_egress_in_flight = m_egress.InFlight()};
    asio::post(m_ingress_io, [this, traffic]() mutable {
      traffic.m_ingress = m_ingress.Stats();
      traffic.m_ingress_metrics = m_ingress.Metrics();
      traffic.m_ingress_in_flight = m_ingress.InFlight();
      asio::post(m_control_io,
                 [this, traffic] { m_control.SetTraffic(traffic); });
    });
  }

  void OnSuperseded(Incarnation other) {
    m_superseded_by = other;
    BeginDrain("superseded by incarnation " + std::to_string(other.Get()));
  }

  void BeginDrain(const std::string& reason) {
    if (m_is_draining) {
      return;
    }
    m_is_draining = true;
    LogEvent(LogLevel::kInfo, "node_draining").Add("reason", reason);
    m_drain_until = Now() + m_settings.m_drain_timeout;
    m_stop_accepting_at = Now() + kDrainRefusalPeriod;
    m_control.SetHostState(HostState::kDraining);
    asio::post(m_ingress_io, [this] { m_ingress.StartDraining(); });
    asio::post(m_egress_io, [this] { m_egress.SetDraining(true); });
    PollDrain();
  }

  // Counts the requests in flight on the ingress and then on the egress thread.
  void PollDrain() {
    asio::post(m_ingress_io, [this] {
      const size_t calls = m_ingress.InFlight();
      const uint64_t requests = m_ingress.Stats().m_requests;
      asio::post(m_egress_io, [this, calls, requests] {
        const size_t in_flight = calls + m_egress.InFlight();
        asio::post(m_control_io, [this, in_flight, requests] {
          OnDrainPolled(in_flight, requests);
        });
      });
    });
  }

  void OnDrainPolled(size_t in_flight, uint64_t requests) {
    const TimePoint now = Now();
    if (m_stop_accepting_at && now >= *m_stop_accepting_at) {
      m_stop_accepting_at.reset();
      asio::post(m_ingress_io, [this] { m_ingress.StopAccepting(); });
    }
    if (in_flight > 0 || requests != m_requests_at_last_poll ||
        !m_quiet_since) {
      m_quiet_since = now;
      m_requests_at_last_poll = requests;
    }
    if (now - *m_quiet_since >= kDrainQuietPeriod || now >= m_drain_until) {
      m_in_flight_at_stop = in_flight;
      asio::post(m_ingress_io, [this] { m_ingress.EndAll(); });
      m_control.SetHostState(HostState::kLeft);
      RunAfter(kDepartureTime, [this] { StopThreads(); });
      return;
    }
    RunAfter(kDrainPollInterval, [this] { PollDrain(); });
  }

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> next) {
    m_drain_timer.expires_after(delay);
    m_drain_timer.async_wait(
        [next = std::move(next)](const asio::error_code& error) {
          if (!error) {
            next();
          }
        });
  }

  void StopThreads() {
    asio::post(m_ingress_io, [this] {
      m_ingress.Stop();
      m_ingress_io.stop();
    });
    asio::post(m_egress_io, [this] {
      m_peer_server.Stop();
      m_egress_io.stop();
    });
    m_control.Stop();
    m_control_io.stop();
  }

  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

  const NodeSettings m_settings;
  const Incarnation m_incarnation;
  asio::io_context m_control_io;
  asio::io_context m_ingress_io;
  asio::io_context m_egress_io;
  WorkGuard m_ingress_guard{m_ingress_io.get_executor()};
  WorkGuard m_egress_guard{m_egress_io.get_executor()};

  // Egress thread.
  Egress m_egress;
  PeerServer m_peer_server;
  asio::steady_timer m_egress_tick;
  int m_egress_ticks = 0;

  // Ingress thread.
  Ingress m_ingress;
  asio::steady_timer m_ingress_tick;

  // Control thread.
  Control m_control;
  asio::signal_set m_signals;
  asio::steady_timer m_drain_timer;
  bool m_is_draining = false;
  std::optional<Incarnation> m_superseded_by;
  TimePoint m_drain_until;
  std::optional<TimePoint> m_stop_accepting_at;
  std::optional<TimePoint> m_quiet_since;
  uint64_t m_requests_at_last_poll = 0;
  size_t m_in_flight_at_stop = 0;
  std::string m_last_reason;
};

Node::Node(NodeSettings settings, Incarnation after)
    : m_impl(std::make_unique<Impl>(std::move(settings), after)) {}

Node::~Node() = default;

bool Node::Start() {
  return m_impl->Start();
}

bool Node::Run() {
  return m_impl->Run();
}

std::optional<Incarnation> Node::SupersededBy() const {
  return m_impl->SupersededBy();
}

const std::string& Node::LastReason() const {
  return m_impl->LastReason();
}

}  // namespace sequoiastage
