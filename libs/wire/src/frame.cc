#include "sequoiastage/wire/frame.h"

#include <xxhash.h>

#include <cstring>
#include <istream>
#include <sstream>
#include <streambuf>
#include <type_traits>
#include <utility>

#include "serialize_p.h"

namespace sequoiastage {

namespace {

constexpr uint32_t kMagic = 0x53515331;  // "1SQS" on the wire
constexpr size_t kVersionOffset = 4;
constexpr size_t kTypeOffset = 5;
constexpr size_t kZero16Offset = 6;
constexpr size_t kLengthOffset = 8;
constexpr size_t kZero32Offset = 12;
constexpr size_t kChecksumOffset = 16;
// The decoder erases decoded bytes from its buffer above this size.
constexpr size_t kCompactBytes = size_t{64} << 10;

// Read-only stream buffer over bytes that it does not own.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
};

template <class Number>
void WriteLittleEndian(std::string& bytes, size_t at, Number number) {
  for (size_t i = 0; i < sizeof(Number); ++i) {
    bytes[at + i] = static_cast<char>(number >> (8 * i));
  }
}

template <class Number>
Number ReadLittleEndian(std::string_view bytes, size_t at) {
  Number number = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    number |= static_cast<Number>(static_cast<uint8_t>(bytes[at + i]))
              << (8 * i);
  }
  return number;
}

uint64_t Checksum(uint8_t type, std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), type);
}

// Loads the alternative of Message with index `type`. Empty for an unknown
// type.
template <size_t kIndex = 0>
std::optional<Message> LoadMessage(uint8_t type,
                                   cereal::PortableBinaryInputArchive& input) {
  if constexpr (kIndex < std::variant_size_v<Message>) {
    if (type != kIndex) {
      return LoadMessage<kIndex + 1>(type, input);
    }
    std::variant_alternative_t<kIndex, Message> message;
    input(message);
    return message;
  }
  return std::nullopt;
}

std::optional<Message> DecodePayload(uint8_t type, std::string_view payload) {
  try {
    ViewBuffer buffer(payload);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive input(stream);
    auto message = LoadMessage(type, input);
    if (stream.peek() != std::istream::traits_type::eof()) {
      return std::nullopt;
    }
    return message;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::string> EncodeFrame(const Message& message) {
  std::ostringstream stream;
  stream << std::string(kFrameHeaderBytes, '\0');
  try {
    cereal::PortableBinaryOutputArchive output(stream);
    std::visit([&output](const auto& value) { output(value); }, message);
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  std::string frame = std::move(stream).str();
  const std::string_view payload =
      std::string_view(frame).substr(kFrameHeaderBytes);
  if (payload.size() > kMaxPayloadBytes) {
    return std::nullopt;
  }
  const auto type = static_cast<uint8_t>(message.index());
  const uint64_t checksum = Checksum(type, payload);
  WriteLittleEndian<uint32_t>(frame, 0, kMagic);
  frame[kVersionOffset] = static_cast<char>(kFrameVersion);
  frame[kTypeOffset] = static_cast<char>(type);
  WriteLittleEndian<uint32_t>(frame, kLengthOffset,
                              static_cast<uint32_t>(payload.size()));
  WriteLittleEndian<uint64_t>(frame, kChecksumOffset, checksum);
  return frame;
}

void FrameDecoder::Feed(std::string_view bytes) {
  if (m_consumed > kCompactBytes) {
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
  }
  m_buffer.append(bytes);
}

std::optional<Message> FrameDecoder::Next() {
  if (IsBroken()) {
    return std::nullopt;
  }
  const std::string_view unread = std::string_view(m_buffer).substr(m_consumed);
  if (unread.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  if (ReadLittleEndian<uint32_t>(unread, 0) != kMagic) {
    return Fail("frame has no magic number");
  }
  if (static_cast<uint8_t>(unread[kVersionOffset]) != kFrameVersion) {
    return Fail("frame version is not supported");
  }
  if (ReadLittleEndian<uint16_t>(unread, kZero16Offset) != 0 ||
      ReadLittleEndian<uint32_t>(unread, kZero32Offset) != 0) {
    return Fail("frame header has nonzero reserved fields");
  }
  const auto length = ReadLittleEndian<uint32_t>(unread, kLengthOffset);
  if (length > m_max_payload_bytes) {
    return Fail("frame payload exceeds the size limit");
  }
  if (unread.size() < kFrameHeaderBytes + length) {
    return std::nullopt;
  }
  const auto type = static_cast<uint8_t>(unread[kTypeOffset]);
  const std::string_view payload = unread.substr(kFrameHeaderBytes, length);
  if (ReadLittleEndian<uint64_t>(unread, kChecksumOffset) !=
      Checksum(type, payload)) {
    return Fail("frame checksum does not match");
  }
  auto message = DecodePayload(type, payload);
  if (!message) {
    return Fail("frame payload can't be read");
  }
  m_consumed += kFrameHeaderBytes + length;
  if (m_consumed == m_buffer.size()) {
    m_buffer.clear();
    m_consumed = 0;
  }
  return message;
}

std::optional<Message> FrameDecoder::Fail(std::string reason) {
  m_last_reason = std::move(reason);
  m_buffer.clear();
  m_consumed = 0;
  return std::nullopt;
}

}  // namespace sequoiastage
