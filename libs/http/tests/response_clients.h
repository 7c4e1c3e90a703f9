#ifndef SEQUOIASTAGE_HTTP_TESTS_RESPONSE_CLIENTS_H_
#define SEQUOIASTAGE_HTTP_TESTS_RESPONSE_CLIENTS_H_

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sequoiastage/http/exchange_connection.h"
#include "sequoiastage/http/http_client.h"
#include "sequoiastage/testing/scripted_server.h"

namespace sequoiastage {

enum class CallEnd : uint8_t { kAnswered, kBroken, kTimeout };

/// The end of one call, whichever client made it.
struct CallReport {
  CallEnd m_end = CallEnd::kTimeout;
  /// Set for kAnswered.
  HttpResponse m_response{};
};

struct TestCall {
  HttpRequest m_request = {.m_method = "GET", .m_target = "/"};
  Duration m_timeout = std::chrono::seconds(20);
  size_t m_max_body_bytes = size_t{1} << 20;
};

using CallHandler = std::function<void(CallReport)>;

/// The client of sequoiameshd.
class ExchangeCalls {
 public:
  explicit ExchangeCalls(asio::io_context& io,
                         std::shared_ptr<BodyBudget> budget = nullptr)
      : m_io(io), m_budget(std::move(budget)) {}

  void Start(const Endpoint& server, const TestCall& call, CallHandler done) {
    std::make_shared<ExchangeConnection>(
        m_io, server,
        ExchangeOptions{.m_limits = {.m_max_body_bytes = call.m_max_body_bytes},
                        .m_budget = m_budget})
        ->Send(call.m_request, call.m_timeout, {},
               [done = std::move(done)](ExchangeResult result) {
                 done({.m_end = ToCallEnd(result.m_outcome),
                       .m_response = std::move(result.m_response)});
               });
  }

 private:
  static CallEnd ToCallEnd(ExchangeOutcome outcome) {
    return outcome == ExchangeOutcome::kAnswered  ? CallEnd::kAnswered
           : outcome == ExchangeOutcome::kTimeout ? CallEnd::kTimeout
                                                  : CallEnd::kBroken;
  }

  asio::io_context& m_io;
  std::shared_ptr<BodyBudget> m_budget;
};

/// The client of sequoiastaged and sequoiactl.
class CurlCalls {
 public:
  explicit CurlCalls(asio::io_context& io,
                     std::shared_ptr<BodyBudget> budget = nullptr)
      : m_client(io, std::move(budget)) {}

  void Start(const Endpoint& server, const TestCall& call, CallHandler done) {
    m_client.Start({.m_server = server,
                    .m_timeout = call.m_timeout,
                    .m_max_body_bytes = call.m_max_body_bytes},
                   call.m_request,
                   [done = std::move(done)](HttpCallResult result) {
                     done({.m_end = ToCallEnd(result.m_error),
                           .m_response = std::move(result.m_response)});
                   });
  }

 private:
  static CallEnd ToCallEnd(HttpCallError error) {
    return error == HttpCallError::kNone      ? CallEnd::kAnswered
           : error == HttpCallError::kTimeout ? CallEnd::kTimeout
                                              : CallEnd::kBroken;
  }

  HttpClient m_client;
};

/// Makes calls one after the other.
template <class Calls>
class BlockingClient : public Calls {
 public:
  explicit BlockingClient(asio::io_context& io,
                          std::shared_ptr<BodyBudget> budget = nullptr)
      : Calls(io, std::move(budget)), m_io(io) {}

  CallReport Call(const Endpoint& server, const TestCall& call) {
    std::optional<CallReport> report;
    Calls::Start(server, call,
                 [&report](CallReport end) { report = std::move(end); });
    while (!report && m_io.run_one_for(call.m_timeout) > 0) {
    }
    return report.value_or(CallReport{});
  }

 private:
  asio::io_context& m_io;
};

using ExchangeClient = BlockingClient<ExchangeCalls>;
using CurlClient = BlockingClient<CurlCalls>;

/// Both clients, which have to refuse the same responses.
using ResponseClients = testing::Types<ExchangeClient, CurlClient>;

struct ResponseClientNames {
  template <class Client>
  static std::string GetName(int /*index*/) {
    return std::is_same_v<Client, ExchangeClient> ? "Exchange" : "Curl";
  }
};

/// Plays single responses. The server keeps the connection open, so that only
/// their content ends the call.
template <class Client>
class ResponseTest : public testing::Test {
 protected:
  ResponseTest()
      : m_server(m_io, {.m_end = ConnectionEnd::kStayOpen}), m_client(m_io) {}

  CallReport Receive(std::string response) {
    m_server.SetResponse(std::move(response));
    return m_client.Call(m_server.Address(),
                         {.m_timeout = std::chrono::seconds(2)});
  }

  void ExpectAnswer(const std::string& response, uint16_t status) {
    const CallReport report = Receive(response);
    EXPECT_EQ(report.m_end, CallEnd::kAnswered)
        << testing::PrintToString(response);
    EXPECT_EQ(report.m_response.m_status, status);
    EXPECT_EQ(report.m_response.m_body, "body");
  }

  void ExpectBroken(const std::string& response) {
    EXPECT_EQ(Receive(response).m_end, CallEnd::kBroken)
        << testing::PrintToString(response);
  }

  asio::io_context m_io;
  ScriptedServer m_server;
  Client m_client;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_HTTP_TESTS_RESPONSE_CLIENTS_H_
