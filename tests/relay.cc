#include "relay.h"

#include <gtest/gtest.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace sequoiastage {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::chrono::milliseconds kCutPoll{10};
constexpr size_t kMaxNodes = 8;

asio::ip::address_v4 ToAddress(const Endpoint& endpoint) {
  return asio::ip::address_v4(endpoint.m_ip);
}

}  // namespace

class Relay::Impl {
 public:
  Impl(std::vector<Node> nodes, const Endpoint& log)
      : m_nodes(std::move(nodes)), m_log(log) {
    for (const Node& node : m_nodes) {
      m_acceptors.emplace_back(m_io, tcp::endpoint(ToAddress(node.m_advertised),
                                                   node.m_advertised.m_port));
      m_log_acceptors.emplace_back(
          m_io, tcp::endpoint(ToAddress(node.m_log), node.m_log.m_port));
      m_datagrams.emplace_back(m_io, udp::endpoint(ToAddress(node.m_advertised),
                                                   node.m_advertised.m_port));
      m_datagrams.back().non_blocking(true);
    }
    m_buffers.resize(m_nodes.size());
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      Accept(node);
      AcceptForLog(node);
      Receive(node);
    }
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~Impl() {
    m_io.stop();
    m_thread.join();
  }

  void SetCut(int from, int to, bool is_cut) { m_cut[from][to] = is_cut; }

  size_t NodeCount() const { return m_nodes.size(); }

 private:
  struct Pipe {
    explicit Pipe(asio::io_context& io)
        : m_from(io),
          m_to(io),
          m_wait{asio::steady_timer(io), asio::steady_timer(io)} {}

    tcp::socket m_from;
    tcp::socket m_to;
    // Indexed by direction; 0 is from the connecting side.
    std::array<std::array<char, 16384>, 2> m_bytes;
    std::array<asio::steady_timer, 2> m_wait;
    size_t m_from_node = 0;
    size_t m_to_node = 0;
  };
  using PipePtr = std::shared_ptr<Pipe>;

  // The node bound to `ip`; empty when there is none.
  std::optional<size_t> NodeAt(uint32_t ip) const {
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      if (m_nodes[node].m_bound.m_ip == ip) {
        return node;
      }
    }
    return std::nullopt;
  }

  void Accept(size_t node) {
    const auto pipe = std::make_shared<Pipe>(m_io);
    m_acceptors[node].async_accept(
        pipe->m_from, [this, node, pipe](const asio::error_code& error) {
          if (!error) {
            ConnectToNode(node, pipe);
          }
          Accept(node);
        });
  }

  void AcceptForLog(size_t node) {
    const auto pipe = std::make_shared<Pipe>(m_io);
    pipe->m_from_node = node;
    pipe->m_to_node = NodeCount();
    m_log_acceptors[node].async_accept(
        pipe->m_from, [this, node, pipe](const asio::error_code& error) {
          if (!error) {
            Connect(m_log, pipe);
          }
          AcceptForLog(node);
        });
  }

  void ConnectToNode(size_t node, const PipePtr& pipe) {
    asio::error_code peer_error;
    const auto peer = pipe->m_from.remote_endpoint(peer_error);
    if (peer_error) {
      return;
    }
    const auto from = NodeAt(peer.address().to_v4().to_uint());
    if (!from) {
      ADD_FAILURE() << "connection from no node's address";
      return;
    }
    pipe->m_from_node = *from;
    pipe->m_to_node = node;
    Connect(m_nodes[node].m_bound, pipe);
  }

  void Connect(const Endpoint& to, const PipePtr& pipe) {
    pipe->m_to.async_connect({ToAddress(to), to.m_port},
                             [this, pipe](const asio::error_code& error) {
                               if (error) {
                                 Close(pipe);
                                 return;
                               }
                               ReadNext(pipe, 0);
                               ReadNext(pipe, 1);
                             });
  }

  bool IsCut(const PipePtr& pipe, int direction) const {
    return direction == 0 ? m_cut[pipe->m_from_node][pipe->m_to_node]
                          : m_cut[pipe->m_to_node][pipe->m_from_node];
  }

  void ReadNext(const PipePtr& pipe, int direction) {
    tcp::socket& in = direction == 0 ? pipe->m_from : pipe->m_to;
    in.async_read_some(
        asio::buffer(pipe->m_bytes[direction]),
        [this, pipe, direction](const asio::error_code& error, size_t count) {
          if (error) {
            Close(pipe);
            return;
          }
          Forward(pipe, direction, count);
        });
  }

  void Forward(const PipePtr& pipe, int direction, size_t count) {
    if (IsCut(pipe, direction)) {
      pipe->m_wait[direction].expires_after(kCutPoll);
      pipe->m_wait[direction].async_wait(
          [this, pipe, direction, count](const asio::error_code&) {
            Forward(pipe, direction, count);
          });
      return;
    }
    tcp::socket& out = direction == 0 ? pipe->m_to : pipe->m_from;
    asio::async_write(
        out, asio::buffer(pipe->m_bytes[direction], count),
        [this, pipe, direction](const asio::error_code& error, size_t) {
          if (error) {
            Close(pipe);
            return;
          }
          ReadNext(pipe, direction);
        });
  }

  static void Close(const PipePtr& pipe) {
    asio::error_code ignored;
    pipe->m_from.close(ignored);
    pipe->m_to.close(ignored);
  }

  void Receive(size_t node) {
    auto& [buffer, sender] = m_buffers[node];
    m_datagrams[node].async_receive_from(
        asio::buffer(buffer), sender,
        [this, node](const asio::error_code& error, size_t count) {
          if (!error) {
            ForwardDatagram(node, count);
          }
          Receive(node);
        });
  }

  // Sends the datagram from the advertised address of its sender.
  void ForwardDatagram(size_t node, size_t count) {
    const auto& [buffer, sender] = m_buffers[node];
    const auto from = NodeAt(sender.address().to_v4().to_uint());
    if (!from || m_cut[*from][node]) {
      return;
    }
    const Endpoint& to = m_nodes[node].m_bound;
    asio::error_code ignored;
    m_datagrams[*from].send_to(asio::buffer(buffer, count),
                               {ToAddress(to), to.m_port}, 0, ignored);
  }

  std::vector<Node> m_nodes;
  Endpoint m_log;
  asio::io_context m_io;
  std::vector<tcp::acceptor> m_acceptors;
  std::vector<tcp::acceptor> m_log_acceptors;
  std::vector<udp::socket> m_datagrams;
  std::vector<std::pair<std::array<char, 65536>, udp::endpoint>> m_buffers;
  // Indexed by sender and receiver; the log follows the nodes.
  std::array<std::array<std::atomic<bool>, kMaxNodes + 1>, kMaxNodes + 1>
      m_cut{};
  std::thread m_thread;
};

Relay::Relay(std::vector<Node> nodes, const Endpoint& log)
    : m_impl(std::make_unique<Impl>(std::move(nodes), log)) {}

Relay::~Relay() = default;

int Relay::Log() const {
  return static_cast<int>(m_impl->NodeCount());
}

void Relay::Cut(int from, int to) {
  m_impl->SetCut(from, to, true);
}

void Relay::Heal(int from, int to) {
  m_impl->SetCut(from, to, false);
}

void Relay::CutBothDirections(int one, int other) {
  Cut(one, other);
  Cut(other, one);
}

void Relay::HealAll() {
  for (int from = 0; from <= Log(); ++from) {
    for (int to = 0; to <= Log(); ++to) {
      Heal(from, to);
    }
  }
}

}  // namespace sequoiastage
