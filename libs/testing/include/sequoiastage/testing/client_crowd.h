#ifndef SEQUOIASTAGE_TESTING_CLIENT_CROWD_H_
#define SEQUOIASTAGE_TESTING_CLIENT_CROWD_H_

#include <memory>
#include <string>
#include <vector>

#include "sequoiastage/testing/slow_caller.h"

namespace sequoiastage {

/// Clients that connect, send what they are told to, and read nothing.
class ClientCrowd {
 public:
  explicit ClientCrowd(asio::io_context& io) : m_io(io) {}

  /// Adds a client that sends `bytes`; empty: it only connects.
  void Add(const Endpoint& server, std::string bytes) {
    m_clients.push_back(std::make_unique<SlowCaller>(m_io, server));
    if (!bytes.empty()) {
      m_clients.back()->Write(std::move(bytes));
    }
  }

  /// Closes all connections.
  void Leave() { m_clients.clear(); }

  size_t size() const { return m_clients.size(); }

 private:
  asio::io_context& m_io;
  std::vector<std::unique_ptr<SlowCaller>> m_clients;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_CLIENT_CROWD_H_
