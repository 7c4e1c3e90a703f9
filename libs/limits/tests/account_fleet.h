#ifndef SEQUOIASTAGE_LIMITS_TESTS_ACCOUNT_FLEET_H_
#define SEQUOIASTAGE_LIMITS_TESTS_ACCOUNT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "sequoiastage/limits/account_exchange.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {

struct AccountFleetOptions {
  uint32_t m_nodes = 12;
  uint32_t m_regions = 3;
  /// Accounts with this limit, which send the same number of requests.
  uint32_t m_accounts = 1;
  AccountLimit m_limit{};
  AccountQuotaOptions m_quota{};
  uint64_t m_seed = 1;
  /// Fractions of the messages that are lost, repeated and delayed.
  double m_loss = 0;
  double m_repeat = 0;
  double m_late = 0;
  Duration m_max_delay = std::chrono::seconds(2);
  /// Fraction of the requests that take a token and do not run.
  double m_not_run = 0;
  /// Links break as soon as the other node is killed, as TCP connections do.
  bool m_breaks_links = false;
};

/// Nodes that exchange tokens of one account over faulty links, in simulated
/// time. A request runs at the moment it has a token.
class AccountFleet {
 public:
  static constexpr TimePoint kStart{std::chrono::hours(1)};

  explicit AccountFleet(const AccountFleetOptions& options)
      : m_options(options), m_random(options.m_seed) {
    m_nodes.resize(options.m_nodes);
    for (uint32_t index = 0; index < options.m_nodes; ++index) {
      m_nodes[index].m_limit = options.m_limit;
      Start(index, true);
      std::uniform_int_distribution<int64_t> phase(0, 20000);
      At(kStart + Duration(phase(m_random)), [this, index] { Tick(index); });
    }
  }

  TimePoint Now() const { return m_now; }

  void At(TimePoint time, std::function<void()> action) {
    m_events.push({time, m_next_event++, std::move(action)});
  }

  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().m_at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.m_at);
      event.m_action();
    }
    m_now = end;
  }

  void Kill(uint32_t index) {
    m_nodes[index].m_exchange.reset();
    if (!m_options.m_breaks_links) {
      return;
    }
    At(m_now + std::chrono::milliseconds(1), [this, index] {
      for (Node& node : m_nodes) {
        if (node.m_exchange) {
          node.m_exchange->OnLinkLost(IdOf(index), m_now);
        }
      }
    });
  }
  /// The node stops as planned: it accepts no more requests, and the others
  /// learn of it within 400 ms.
  void Leave(uint32_t index) {
    m_nodes[index].m_is_leaving = true;
    m_nodes[index].m_exchange->SetLeaving();
    AnnounceMembers();
  }
  /// A node that was stopped as planned starts again.
  void Return(uint32_t index) {
    m_nodes[index].m_is_leaving = false;
    Start(index, false);
    AnnounceMembers();
  }
  void Restart(uint32_t index) { Start(index, false); }
  bool IsUp(uint32_t index) const {
    return m_nodes[index].m_exchange != nullptr;
  }
  void Pause(uint32_t index, Duration time) {
    m_nodes[index].m_paused_until = m_now + time;
  }
  /// Messages from one node to another are lost until Heal(), in this direction
  /// only.
  void Cut(uint32_t from, uint32_t to) { m_cuts.insert({from, to}); }
  void Heal() { m_cuts.clear(); }
  /// Messages between these nodes and the others are lost until Heal().
  void CutOff(const std::set<uint32_t>& group) {
    for (const uint32_t inside : group) {
      for (uint32_t other = 0; other < m_options.m_nodes; ++other) {
        if (!group.contains(other)) {
          Cut(inside, other);
          Cut(other, inside);
        }
      }
    }
  }
  void SetLimit(uint32_t index, const AccountLimit& limit) {
    m_nodes[index].m_limit = limit;
  }

  /// A request of the account arrives at this node.
  void Request(uint32_t index) {
    Node& node = m_nodes[index];
    if (!node.m_exchange || node.m_is_leaving || node.m_paused_until > m_now) {
      return;
    }
    ++m_requests;
    const TokenWaiterId waiter(m_next_waiter++);
    const AccountId account =
        m_options.m_accounts > 1
            ? AccountId(kAccount.Get() + m_random() % m_options.m_accounts)
            : kAccount;
    const auto acquisition = node.m_exchange->Acquire(account, waiter, m_now);
    if (acquisition.m_result == AccountCredits::Result::kTaken) {
      Run(index);
    } else if (acquisition.m_result == AccountCredits::Result::kRefused) {
      m_refusals.push_back(m_now);
    }
  }

  /// Requests arrive at random times at these nodes, from now on.
  void SendLoad(std::vector<uint32_t> nodes, double rate) {
    ScheduleRequest(std::make_shared<Load>(
        Load{.m_nodes = std::move(nodes),
             .m_gap = std::exponential_distribution<double>(rate)}));
  }

  /// Node that coordinates the account in the view of node 0.
  uint32_t Coordinator() const {
    if (!m_nodes[0].m_exchange) {
      return 0;
    }
    return IndexOf(*m_nodes[0].m_exchange->CoordinatorOf(kAccount));
  }

  const std::vector<TimePoint>& Runs() const { return m_runs; }
  uint64_t Requests() const { return m_requests; }
  uint64_t Refused() const { return m_refusals.size(); }
  const std::vector<TimePoint>& Refusals() const { return m_refusals; }
  uint64_t Messages() const { return m_messages; }
  uint64_t RemoteMessages() const { return m_remote_messages; }
  /// Encoded bytes of the messages between regions.
  uint64_t RemoteBytes() const { return m_remote_bytes; }

  std::mt19937_64& Random() { return m_random; }

 private:
  static constexpr AccountId kAccount{7};

  struct Event {
    TimePoint m_at{};
    uint64_t m_sequence = 0;
    std::function<void()> m_action;

    friend bool operator<(const Event& a, const Event& b) {
      return std::pair(a.m_at, a.m_sequence) > std::pair(b.m_at, b.m_sequence);
    }
  };

  struct Node {
    std::unique_ptr<AccountExchange> m_exchange;
    Incarnation m_incarnation;
    AccountLimit m_limit;
    TimePoint m_paused_until{};
    bool m_is_leaving = false;
  };

  struct Load {
    std::vector<uint32_t> m_nodes;
    std::exponential_distribution<double> m_gap;
  };

  void ScheduleRequest(const std::shared_ptr<Load>& load) {
    const double seconds = load->m_gap(m_random);
    At(m_now + Duration(1 + static_cast<int64_t>(seconds * 1e6)), [this, load] {
      Request(load->m_nodes[m_random() % load->m_nodes.size()]);
      ScheduleRequest(load);
    });
  }

  void Tick(uint32_t index) {
    const Node& node = m_nodes[index];
    if (node.m_paused_until > m_now) {
      At(node.m_paused_until, [this, index] { Tick(index); });
      return;
    }
    if (node.m_exchange) {
      node.m_exchange->Tick(m_now);
    }
    At(m_now + std::chrono::milliseconds(20), [this, index] { Tick(index); });
  }

  static NodeId IdOf(uint32_t index) {
    return NodeId(Endpoint{.m_ip = 0x7f000001 + index, .m_port = 7000});
  }
  static uint32_t IndexOf(NodeId node) { return node.Get().m_ip - 0x7f000001; }
  uint32_t RegionOf(uint32_t index) const {
    return index % m_options.m_regions;
  }

  void Start(uint32_t index, bool is_first_start) {
    Node& node = m_nodes[index];
    node.m_incarnation = Incarnation(m_random());
    node.m_exchange = std::make_unique<AccountExchange>(
        IdOf(index), node.m_incarnation,
        AccountExchangeOptions{.m_quota = m_options.m_quota,
                               .m_is_first_start = is_first_start},
        AccountExchange::Hooks{
            .m_send =
                [this, index](NodeId to, const Message& message) {
                  SendRequest(index, IndexOf(to), message);
                  return true;
                },
            .m_is_usable = [this](NodeId to) { return IsUp(IndexOf(to)); },
            .m_limit_of = [this, index](AccountId) -> const AccountLimit* {
              return &m_nodes[index].m_limit;
            },
            .m_on_decision =
                [this, index](const TokenDecision& decision) {
                  if (decision.m_is_granted) {
                    Run(index);
                  } else {
                    m_refusals.push_back(m_now);
                  }
                },
            .m_on_coordinator = [](uint32_t, NodeId, std::string_view) {},
            .m_on_loan = [](AccountId, NodeId, double, bool) {}},
        m_now);
    SetMembers(index);
    node.m_exchange->StartAccounts(m_now);
  }

  void AnnounceMembers() {
    for (uint32_t index = 0; index < m_options.m_nodes; ++index) {
      At(m_now + Duration(static_cast<int64_t>(m_random() % 400'000)),
         [this, index] {
           if (m_nodes[index].m_exchange) {
             SetMembers(index);
           }
         });
    }
  }

  void SetMembers(uint32_t index) {
    AccountExchange::Region own;
    std::vector<AccountExchange::Region> others;
    for (uint32_t region = 0; region < m_options.m_regions; ++region) {
      AccountExchange::Region members;
      for (uint32_t other = 0; other < m_options.m_nodes; ++other) {
        if (RegionOf(other) == region && !m_nodes[other].m_is_leaving) {
          members.m_nodes.push_back(IdOf(other));
        }
      }
      if (region == RegionOf(index)) {
        own = std::move(members);
      } else if (!members.m_nodes.empty()) {
        others.push_back(std::move(members));
      }
    }
    m_nodes[index].m_exchange->SetMembers(std::move(own), std::move(others),
                                          m_now);
  }

  void Run(uint32_t index) {
    if (Draw(m_options.m_not_run)) {
      At(m_now + std::chrono::milliseconds(10), [this, index] {
        if (m_nodes[index].m_exchange) {
          m_nodes[index].m_exchange->Return(kAccount);
        }
      });
      return;
    }
    m_runs.push_back(m_now);
  }

  bool Draw(double share) {
    return share > 0 &&
           std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }

  // Calls `deliver` at the other node, not at all, twice or late.
  void Transfer(uint32_t from,
                uint32_t to,
                const Message& message,
                const std::function<void()>& deliver) {
    ++m_messages;
    if (RegionOf(from) != RegionOf(to)) {
      ++m_remote_messages;
      m_remote_bytes += EncodeFrame(message)->size();
    }
    if (m_cuts.contains({from, to}) || Draw(m_options.m_loss)) {
      return;
    }
    const int copies = Draw(m_options.m_repeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Duration delay = RegionOf(from) == RegionOf(to)
                           ? std::chrono::milliseconds(1)
                           : std::chrono::milliseconds(30);
      if (Draw(m_options.m_late)) {
        delay += Duration(std::uniform_int_distribution<int64_t>(
            0, m_options.m_max_delay.count())(m_random));
      }
      DeliverAt(m_now + delay, to, m_nodes[to].m_incarnation, deliver);
    }
  }

  void DeliverAt(TimePoint time,
                 uint32_t to,
                 Incarnation incarnation,
                 const std::function<void()>& deliver) {
    At(time, [this, to, incarnation, deliver] {
      const Node& node = m_nodes[to];
      if (!node.m_exchange || node.m_incarnation != incarnation) {
        return;
      }
      if (node.m_paused_until > m_now) {
        DeliverAt(node.m_paused_until, to, incarnation, deliver);
        return;
      }
      deliver();
    });
  }

  void SendRequest(uint32_t from, uint32_t to, const Message& message) {
    const Incarnation incarnation = m_nodes[from].m_incarnation;
    Transfer(from, to, message, [this, from, to, incarnation, message] {
      const auto reply = m_nodes[to].m_exchange->OnRequest(
          IdOf(from), incarnation, message, m_now);
      if (reply && m_nodes[from].m_incarnation == incarnation) {
        Transfer(to, from, *reply, [this, from, to, reply = *reply] {
          m_nodes[from].m_exchange->OnReply(IdOf(to), reply, m_now);
        });
      }
    });
  }

  AccountFleetOptions m_options;
  std::mt19937_64 m_random;
  std::priority_queue<Event> m_events;
  uint64_t m_next_event = 0;
  TimePoint m_now = kStart;
  std::vector<Node> m_nodes;
  std::set<std::pair<uint32_t, uint32_t>> m_cuts;
  std::vector<TimePoint> m_runs;
  uint64_t m_next_waiter = 1;
  uint64_t m_requests = 0;
  std::vector<TimePoint> m_refusals;
  uint64_t m_messages = 0;
  uint64_t m_remote_messages = 0;
  uint64_t m_remote_bytes = 0;
};

/// Largest number of the runs in any window; the times are in order.
inline size_t MaxRunsInWindow(const std::vector<TimePoint>& runs,
                              Duration window) {
  size_t first = 0;
  size_t most = 0;
  for (size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] > window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LIMITS_TESTS_ACCOUNT_FLEET_H_
