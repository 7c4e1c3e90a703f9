#include "sequoiastage/base/ids.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

RC_GTEST_PROP(EndpointTest, TextRoundTrips, (uint32_t ip, uint16_t port)) {
  RC_PRE(port != 0);
  const Endpoint endpoint{.m_ip = ip, .m_port = port};
  const auto parsed = ParseEndpoint(ToString(endpoint));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == endpoint);
}

RC_GTEST_PROP(EndpointTest,
              ArbitraryTextNeverYieldsPortZero,
              (const std::string& text)) {
  const auto parsed = ParseEndpoint(text);
  if (parsed) {
    RC_ASSERT(parsed->m_port != 0);
  }
}

TEST(EndpointTest, RejectsMalformedText) {
  for (const char* text : {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.256:1", "1.2.3:1",
                           "1.2.3.4:1x", "1.2.3.4:65536"}) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

}  // namespace
}  // namespace sequoiastage
