#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "response_clients.h"
#include "sequoiastage/testing/scripted_server.h"

// A server that answers a long upload before it has read it. The client is
// still writing when the connection ends.
namespace sequoiastage {
namespace {

using std::chrono::milliseconds;

// More than the buffers of both sockets hold.
constexpr size_t kUploadBytes = size_t{16} << 20;
const std::string kUntilClose = "HTTP/1.1 200 OK\r\n\r\npart";

TestCall Upload() {
  return {.m_request = {.m_method = "POST",
                        .m_target = "/",
                        .m_body = std::string(kUploadBytes, 'x')}};
}

template <class Client>
CallReport RunUpload(const ServerScript& script) {
  asio::io_context io;
  ScriptedServer server(io, script);
  return Client(io).Call(server.Address(), Upload());
}

// Calls `check` for each time at which a server may end the connection.
template <class Check>
void ForEachTiming(ServerScript script, const Check& check) {
  for (const size_t read_bytes : {size_t{0}, size_t{1}, size_t{100} << 10,
                                  size_t{3} << 20, size_t{12} << 20}) {
    for (const int delay_ms : {0, 1, 20}) {
      script.m_read_bytes = read_bytes;
      script.m_delay = milliseconds(delay_ms);
      SCOPED_TRACE(testing::Message()
                   << read_bytes << " bytes read, " << delay_ms << " ms");
      check(script);
    }
  }
}

template <class Client>
class InterruptedUploadTest : public testing::Test {};
TYPED_TEST_SUITE(InterruptedUploadTest, ResponseClients, ResponseClientNames);

// Guards against a reset that the write has already reported: the read that
// follows reports an orderly end of the connection.
TYPED_TEST(InterruptedUploadTest, ResetIsNoEndOfTheBody) {
  for (const ConnectionEnd end :
       {ConnectionEnd::kReset, ConnectionEnd::kAbandon}) {
    ForEachTiming({.m_response = kUntilClose, .m_end = end},
                  [](const ServerScript& script) {
                    EXPECT_EQ(RunUpload<TypeParam>(script).m_end,
                              CallEnd::kBroken);
                  });
  }
}

// HttpClient accepts no response that ends with the connection.
TEST(EarlyResponseTest, OrderlyCloseIsTheEndOfTheBody) {
  for (const ConnectionEnd end :
       {ConnectionEnd::kClose, ConnectionEnd::kCloseThenReset}) {
    ForEachTiming({.m_response = kUntilClose, .m_end = end},
                  [](const ServerScript& script) {
                    const CallReport report = RunUpload<ExchangeClient>(script);
                    EXPECT_EQ(report.m_end, CallEnd::kAnswered);
                    EXPECT_EQ(report.m_response.m_body, "part");
                  });
  }
}

}  // namespace
}  // namespace sequoiastage
