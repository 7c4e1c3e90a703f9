#include "sequoiastage/wire/frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sequoiastage {
namespace {

RC_GTEST_PROP(FrameTest,
              RoundTripsInChunksOfAnySize,
              (const std::string& body, uint64_t counter, uint8_t chunk)) {
  DispatchMessage dispatch;
  dispatch.m_attempt.m_counter = counter;
  dispatch.m_request.m_body = body;
  dispatch.m_request.m_fields = {{"a", body}, {"b", ""}};
  const Message message = dispatch;
  const auto frame = EncodeFrame(message);
  RC_ASSERT(frame.has_value());
  FrameDecoder decoder;
  size_t at = 0;
  const size_t step = chunk + 1;
  std::optional<Message> decoded;
  while (at < frame->size()) {
    RC_ASSERT(!decoded);
    decoder.Feed(std::string_view(*frame).substr(at, step));
    at += step;
    decoded = decoder.Next();
  }
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

}  // namespace
}  // namespace sequoiastage
