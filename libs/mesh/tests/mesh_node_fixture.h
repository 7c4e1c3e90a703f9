#ifndef SEQUOIASTAGE_MESH_TESTS_MESH_NODE_FIXTURE_H_
#define SEQUOIASTAGE_MESH_TESTS_MESH_NODE_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "fake_platform.h"
#include "sequoiastage/mesh/mesh_node.h"

namespace sequoiastage {

struct TestNodeOptions {
  Duration m_grace = std::chrono::seconds(6);
  bool m_is_first_start = false;
};

// A node with its instance and its access to the store.
struct TestNode {
  TestNode(asio::io_context& io,
           FakeLog& log,
           uint8_t host,
           const TestNodeOptions& options = {})
      : m_settings{.m_callers = EndpointAt(host, 8000),
                   .m_ready = EndpointAt(host, 8001),
                   .m_control = EndpointAt(host, 8002),
                   .m_peer = EndpointAt(host, 7000),
                   .m_metrics = EndpointAt(host, 8003),
                   .m_region = "r",
                   .m_domain = "d",
                   .m_service = "plans",
                   .m_is_first_start = options.m_is_first_start,
                   .m_grace = options.m_grace},
        m_store(io, log),
        m_instance(io, EndpointAt(host, 9000)),
        m_node(io, m_settings, m_store) {
    EXPECT_TRUE(m_node.Start()) << m_node.LastReason();
  }

  static Endpoint EndpointAt(uint8_t host, uint16_t port) {
    return {.m_ip = TestIp(host), .m_port = port};
  }

  MeshSettings m_settings;
  FakeStore m_store;
  FakeInstance m_instance;
  MeshNode<FakeCodec, FakeStore> m_node;
};

class MeshNodeTest : public testing::Test {
 protected:
  MeshNodeTest()
      : m_first(std::make_unique<TestNode>(m_io, m_log, 1)),
        m_second(std::make_unique<TestNode>(m_io, m_log, 2)) {}

  void PublishConfig(const std::string& text) {
    m_log.Write(StoreTopic::kConfig, "config", text);
  }

  ExchangeResult Exchange(const Endpoint& server, const HttpRequest& request) {
    auto connection =
        std::make_shared<ExchangeConnection>(m_io, server, ExchangeOptions{});
    std::optional<ExchangeResult> result;
    connection->Send(
        request, std::chrono::seconds(5), {},
        [&result](ExchangeResult end) { result = std::move(end); });
    RunUntil(m_io, [&] { return result.has_value(); });
    return result.value_or(ExchangeResult{});
  }

  ExchangeResult SendRequest(TestNode& node, const std::string& target) {
    return Exchange(node.m_settings.m_callers,
                    {.m_method = "POST",
                     .m_target = target,
                     .m_fields = {{"Host", "a"}, {"id", "7"}},
                     .m_body = "body"});
  }

  uint16_t QueryReadiness(TestNode& node) {
    return Exchange(node.m_settings.m_ready,
                    {.m_method = "GET", .m_target = "/ready"})
        .m_response.m_status;
  }

  uint16_t Announce(TestNode& node,
                    const std::string& more = "",
                    const std::string& start_time = "10") {
    return Exchange(node.m_settings.m_control,
                    {.m_method = "POST",
                     .m_target = "/announce/i-1",
                     .m_body = "plans " + ToString(node.m_instance.m_endpoint) +
                               " " + start_time + " " +
                               std::to_string(++m_sequence) + more})
        .m_response.m_status;
  }

  uint16_t Deregister(TestNode& node, const std::string& start_time) {
    return Exchange(node.m_settings.m_control, {.m_method = "POST",
                                                .m_target = "/deregister/i-1",
                                                .m_body = start_time})
        .m_response.m_status;
  }

  // Sends requests to `node` until one ends with `status`. Returns false at the
  // time limit.
  bool WaitForStatus(
      TestNode& node,
      const std::string& target,
      uint16_t status,
      std::chrono::milliseconds limit = std::chrono::seconds(8)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      if (SendRequest(node, target).m_response.m_status == status) {
        return true;
      }
      RunUntil(
          m_io, [] { return false; }, std::chrono::milliseconds(20));
    }
    return false;
  }

  asio::io_context m_io;
  FakeLog m_log;
  uint64_t m_sequence = 0;
  std::unique_ptr<TestNode> m_first;
  std::unique_ptr<TestNode> m_second;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_TESTS_MESH_NODE_FIXTURE_H_
