#include "metrics_client.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <utility>

#include "sequoiastage/http/http_client.h"

namespace sequoiastage {

namespace {

// A node's metrics are about 30 KB.
constexpr size_t kMaxBodyBytes = size_t{1} << 20;

MetricsResponse ToResponse(const Endpoint& node, HttpCallResult call) {
  if (call.m_error != HttpCallError::kNone) {
    return {.m_node = node, .m_reason = "no answer: " + call.m_reason};
  }
  return {.m_node = node,
          .m_status = call.m_response.m_status,
          .m_body = std::move(call.m_response.m_body)};
}

// The calls of one FetchMetrics(). Each that ends starts the next one.
class Fetch {
 public:
  Fetch(const std::vector<Endpoint>& nodes, const MetricsFetchOptions& options)
      : m_nodes(nodes),
        m_options(options),
        m_client(m_io),
        m_responses(nodes.size()) {}

  std::vector<MetricsResponse> Run() {
    const size_t calls = std::min(m_nodes.size(), m_options.m_max_calls);
    for (size_t i = 0; i < calls; ++i) {
      StartNext();
    }
    while (m_ended < m_nodes.size() && m_io.run_one() > 0) {
    }
    return std::move(m_responses);
  }

 private:
  void StartNext() {
    if (m_next == m_nodes.size()) {
      return;
    }
    const size_t index = m_next++;
    m_client.Start({.m_server = m_nodes[index],
                    .m_timeout = m_options.m_timeout,
                    .m_max_body_bytes = kMaxBodyBytes,
                    .m_is_idempotent = true},
                   {.m_method = "GET",
                    .m_host = IpToString(m_nodes[index].m_ip),
                    .m_target = "/metrics",
                    .m_fields = {},
                    .m_body = {}},
                   [this, index](HttpCallResult call) {
                     m_responses[index] =
                         ToResponse(m_nodes[index], std::move(call));
                     ++m_ended;
                     StartNext();
                   });
  }

  const std::vector<Endpoint>& m_nodes;
  MetricsFetchOptions m_options;
  asio::io_context m_io;
  HttpClient m_client;
  std::vector<MetricsResponse> m_responses;
  size_t m_next = 0;
  size_t m_ended = 0;
};

}  // namespace

std::vector<MetricsResponse> FetchMetrics(const std::vector<Endpoint>& nodes,
                                          const MetricsFetchOptions& options) {
  return Fetch(nodes, options).Run();
}

}  // namespace sequoiastage
