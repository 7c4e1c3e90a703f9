#include "sequoiastage/node/node.h"

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

constexpr std::chrono::milliseconds kEgressTick{100};
constexpr std::chrono::milliseconds kIngressTick{50};
// Ticks of the egress between two reports to the control thread.
constexpr int kTicksPerReport = 2;
constexpr std::chrono::milliseconds kDrainPoll{50};
// A shutdown refuses new requests with an answer for this long; then it takes
// no more connections, and each one there is told to close.
constexpr std::chrono::seconds kRefuseTime{2};
// A shutdown ends once no request has come for this long.
constexpr std::chrono::milliseconds kQuietTime{500};
// A caller has this long for a request's header and again for its body; 2 MiB
// in that time need a link of 1.7 Mbit/s.
constexpr std::chrono::seconds kHeaderTimeout{10};
constexpr std::chrono::seconds kIdleTimeout{60};
// Callers' bodies that are held at a time, in bodies of the largest size: a
// caller that sends one does not keep the others out.
constexpr size_t kLargestBodies = 16;
// Time for the word that the node has left to go out.
constexpr std::chrono::milliseconds kLeaveTime{300};

// A later run of the node has a greater value.
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
                     kLargestBodies * size_t{settings.m_max_body_bytes}},
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
        BeginShutdown("signal " + std::to_string(signal));
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
        .Add("in_flight", static_cast<int64_t>(m_left_in_flight));
    return m_left_in_flight == 0;
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
        .m_on_siblings =
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

  // From the control thread to the ingress and back.
  void LookUpKey(const std::string& key,
                 std::function<void(HttpResponse)> done) {
    asio::post(m_ingress_io, [this, key, done = std::move(done)] {
      m_ingress.LookUpOutcome(key, [this, done](HttpResponse answer) {
        asio::post(m_control_io, [done, answer = std::move(answer)]() mutable {
          done(std::move(answer));
        });
      });
    });
  }

  // From the ingress thread to the own egress and back.
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
      PassToKeyOwner(from, std::move(*keyed));
      return;
    }
    if (const auto* request = std::get_if<ConfigRequestMessage>(&message)) {
      AnswerConfig(from, *request);
      return;
    }
    if (std::holds_alternative<HelloMessage>(message)) {
      // Answered at once, so that the peer sees the path is good.
      from->Send(HelloMessage{.m_node = NodeId(m_settings.m_peer),
                              .m_incarnation = m_incarnation});
      return;
    }
    RunAtEgress(std::move(message), [from](ResultMessage result) {
      from->Send(std::move(result));
    });
  }

  // From the egress thread to the control thread and back.
  void AnswerConfig(const PeerServer::Connection& from,
                    const ConfigRequestMessage& request) {
    asio::post(m_control_io, [this, from, request] {
      asio::post(m_egress_io, [from, reply = m_control.AnswerPeer(request)] {
        from->Send(reply);
      });
    });
  }

  void PassToKeyOwner(const PeerServer::Connection& from,
                      KeyedRequestMessage message) {
    auto reply = [this, from](KeyedReplyMessage answer) {
      asio::post(m_egress_io, [from, answer = std::move(answer)]() mutable {
        from->Send(std::move(answer));
      });
    };
    asio::post(m_ingress_io, [this, message = std::move(message),
                              reply = std::move(reply)]() mutable {
      m_ingress.OnKeyedRequest(std::move(message), std::move(reply));
    });
  }

  void ArmEgressTick() {
    m_egress_tick.expires_after(kEgressTick);
    m_egress_tick.async_wait([this](const asio::error_code& error) {
      if (!error) {
        OnEgressTick();
        ArmEgressTick();
      }
    });
  }

  void ArmIngressTick() {
    m_ingress_tick.expires_after(kIngressTick);
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

  // From the egress thread over the ingress to the control thread.
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
    BeginShutdown("superseded by incarnation " + std::to_string(other.Get()));
  }

  void BeginShutdown(const std::string& reason) {
    if (m_is_draining) {
      return;
    }
    m_is_draining = true;
    LogEvent(LogLevel::kInfo, "node_draining").Add("reason", reason);
    m_drain_until = Now() + m_settings.m_drain_timeout;
    m_stop_accepting_at = Now() + kRefuseTime;
    m_control.SetHostState(HostState::kDraining);
    asio::post(m_ingress_io, [this] { m_ingress.StartDraining(); });
    asio::post(m_egress_io, [this] { m_egress.SetDraining(true); });
    PollDrain();
  }

  // Asks both traffic threads for their work in flight, one after the other.
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
    if (in_flight > 0 || requests != m_drain_requests || !m_quiet_since) {
      m_quiet_since = now;
      m_drain_requests = requests;
    }
    if (now - *m_quiet_since >= kQuietTime || now >= m_drain_until) {
      m_left_in_flight = in_flight;
      m_control.SetHostState(HostState::kLeft);
      WaitThen(kLeaveTime, [this] { End(); });
      return;
    }
    WaitThen(kDrainPoll, [this] { PollDrain(); });
  }

  void WaitThen(std::chrono::milliseconds time, std::function<void()> next) {
    m_drain_timer.expires_after(time);
    m_drain_timer.async_wait(
        [next = std::move(next)](const asio::error_code& error) {
          if (!error) {
            next();
          }
        });
  }

  void End() {
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
  uint64_t m_drain_requests = 0;
  size_t m_left_in_flight = 0;
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
