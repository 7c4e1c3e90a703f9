#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <xxhash.h>

#include <cstring>

#include "allocation_probe.h"
#include "sequoiastage/wire/bytes.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {
namespace {

// Allowance for the decoder's own state and error texts beside the payload.
constexpr size_t kSlackBytes = size_t{64} * 1024;
constexpr size_t kTypeOffset = 5;
constexpr size_t kLengthOffset = 8;
constexpr size_t kChecksumOffset = 16;

Message RandomMessage() {
  const auto text = *rc::gen::arbitrary<std::string>();
  const auto number = *rc::gen::arbitrary<uint32_t>();
  const AttemptId id{.m_ingress = NodeId(Endpoint{.m_ip = number, .m_port = 7}),
                     .m_incarnation = Incarnation(number),
                     .m_counter = number};
  const std::vector<HttpField> fields = {{"name", text}, {text, ""}};
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return DispatchMessage{.m_attempt = id,
                             .m_request = {.m_method = "POST",
                                           .m_target = text,
                                           .m_fields = fields,
                                           .m_body = text}};
    case 1:
      return ResultMessage{
          .m_attempt = id,
          .m_result = AttemptResult::kAnswered,
          .m_response = {.m_status = 200, .m_fields = fields, .m_body = text},
          .m_loads = {InstanceLoad{.m_slots = 3}}};
    case 2:
      return QueryMessage{.m_attempt = id};
    case 3:
      return KeyedRequestMessage{
          .m_attempt = id, .m_key = text, .m_account = text};
    case 4:
      return OfferMessage{
          .m_attempt = AttemptNumber(number),
          .m_instance = text,
          .m_caller_service = text,
          .m_request = {.m_target = text, .m_fields = fields, .m_body = text}};
    case 5:
      return OutcomeMessage{
          .m_attempt = AttemptNumber(number),
          .m_response = {.m_status = 200, .m_fields = fields, .m_body = text}};
    case 6:
      return RelayMessage{.m_age_ms = number, .m_packed = text};
    default:
      return ConfigReplyMessage{.m_attempt = id, .m_state = text};
  }
}

// Feeds `bytes` to the decoder and returns all messages decoded from them.
std::vector<Message> DecodeAll(FrameDecoder& decoder, std::string_view bytes) {
  std::vector<Message> messages;
  decoder.Feed(bytes);
  while (auto message = decoder.Next()) {
    messages.push_back(std::move(*message));
  }
  return messages;
}

// Frame with an arbitrary payload and a valid checksum.
std::string BuildFrame(uint8_t type, const std::string& payload) {
  std::string frame = *EncodeFrame(QueryMessage{});
  frame.resize(kFrameHeaderBytes);
  frame[kTypeOffset] = static_cast<char>(type);
  const auto length = static_cast<uint32_t>(payload.size());
  std::memcpy(frame.data() + kLengthOffset, &length, sizeof(length));
  const uint64_t checksum =
      XXH3_64bits_withSeed(payload.data(), payload.size(), type);
  std::memcpy(frame.data() + kChecksumOffset, &checksum, sizeof(checksum));
  return frame + payload;
}

std::string RandomBytes(size_t max) {
  return *rc::gen::resize(
      static_cast<int>(max),
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
}

RC_GTEST_PROP(FrameFaultTest, ArbitraryBytesStayWithinMemoryLimit, ()) {
  std::string bytes = RandomBytes(400);
  if (*rc::gen::arbitrary<bool>()) {
    bytes = EncodeFrame(RandomMessage())->substr(0, 12) + bytes;
  }
  const size_t limit = *rc::gen::inRange<size_t>(0, 500);
  const AllocationProbe probe;
  FrameDecoder decoder(limit);
  DecodeAll(decoder, bytes);
  RC_ASSERT(probe.PeakBytes() <= bytes.size() + limit + kSlackBytes);
}

RC_GTEST_PROP(FrameFaultTest,
              ArbitraryPayloadWithValidChecksumStaysWithinMemoryLimit,
              ()) {
  const auto type =
      *rc::gen::inRange<uint8_t>(0, std::variant_size_v<Message> + 1);
  std::string payload = RandomBytes(300);
  if (*rc::gen::arbitrary<bool>()) {
    payload = EncodeFrame(RandomMessage())->substr(kFrameHeaderBytes);
    const auto at = *rc::gen::inRange<size_t>(0, payload.size());
    payload[at] = static_cast<char>(0xff);
  }
  const std::string frame = BuildFrame(type, payload);
  const AllocationProbe probe;
  FrameDecoder decoder;
  DecodeAll(decoder, frame);
  RC_ASSERT(probe.PeakBytes() <= 32 * frame.size() + kSlackBytes);
}

TEST(FrameFaultTest, LongListOfEmptyFieldsStaysWithinFrameLimit) {
  // An empty dispatch ends with the number of fields and the length of the
  // body. Each empty field takes eight bytes in the frame and more in memory.
  constexpr uint32_t kFields = 1'900'000;
  std::string payload =
      EncodeFrame(DispatchMessage{})->substr(kFrameHeaderBytes);
  std::memcpy(payload.data() + payload.size() - 8, &kFields, sizeof(kFields));
  payload += std::string(size_t{8} * kFields, '\0');
  const std::string frame = BuildFrame(1, payload);
  const AllocationProbe probe;
  FrameDecoder decoder;
  EXPECT_TRUE(DecodeAll(decoder, frame).empty());
  EXPECT_TRUE(decoder.IsBroken());
  EXPECT_LE(probe.PeakBytes(), kMaxPayloadBytes + kSlackBytes);
}

TEST(FrameFaultTest, LongListIsNotEncoded) {
  DispatchMessage dispatch;
  dispatch.m_request.m_fields.resize(kMaxListItems);
  EXPECT_TRUE(EncodeFrame(dispatch).has_value());
  dispatch.m_request.m_fields.resize(kMaxListItems + 1);
  EXPECT_FALSE(EncodeFrame(dispatch).has_value());
}

RC_GTEST_PROP(FrameFaultTest, AnyFlippedBitIsRefused, ()) {
  const Message message = RandomMessage();
  const std::string frame = *EncodeFrame(message);
  std::string flipped = frame;
  const auto at = *rc::gen::inRange<size_t>(0, frame.size());
  flipped[at] ^= static_cast<char>(1 << *rc::gen::inRange(0, 8));
  // Feeds more bytes, in case the flipped bit increased the payload length.
  FrameDecoder decoder;
  auto messages = DecodeAll(decoder, flipped);
  RC_ASSERT(messages.empty());
  for (int i = 0; i < 3 && !decoder.IsBroken(); ++i) {
    messages = DecodeAll(decoder, std::string(kMaxPayloadBytes / 2, 'x'));
    RC_ASSERT(messages.empty());
  }
  RC_ASSERT(decoder.IsBroken());
  RC_ASSERT(DecodeAll(decoder, frame).empty());
}

RC_GTEST_PROP(FrameFaultTest, AnyCutIsNeverAMessage, ()) {
  const std::string frame = *EncodeFrame(RandomMessage());
  const auto at = *rc::gen::inRange<size_t>(0, frame.size());
  const auto length = *rc::gen::inRange<size_t>(1, frame.size() - at + 1);
  FrameDecoder decoder;
  std::string cut = frame;
  cut.erase(at, length);
  RC_ASSERT(DecodeAll(decoder, cut).empty());
  // The missing bytes are not taken from the next frame.
  const std::vector<Message> messages = DecodeAll(decoder, frame);
  RC_ASSERT(cut.empty() || messages.empty());
}

RC_GTEST_PROP(FrameFaultTest, ResultsKeepTheirAttemptIdInAnyOrder, ()) {
  const auto order = *rc::gen::container<std::vector<uint64_t>>(
      *rc::gen::inRange<size_t>(1, 30), rc::gen::inRange<uint64_t>(1, 12));
  std::string stream;
  for (const uint64_t counter : order) {
    ResultMessage result{.m_result = AttemptResult::kAnswered};
    result.m_attempt.m_counter = counter;
    result.m_response.m_body = "body of " + std::to_string(counter);
    stream += *EncodeFrame(result);
  }
  FrameDecoder decoder;
  size_t at = 0;
  for (const Message& message : DecodeAll(decoder, stream)) {
    const auto& result = std::get<ResultMessage>(message);
    const uint64_t counter = result.m_attempt.m_counter;
    RC_ASSERT(counter == order[at++]);
    RC_ASSERT(result.m_response.m_body == "body of " + std::to_string(counter));
  }
  RC_ASSERT(at == order.size());
}

}  // namespace
}  // namespace sequoiastage
