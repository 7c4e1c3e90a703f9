#include "sequoiastage/wire/frame.h"

#include <xxhash.h>

#include <cstring>
#include <istream>
#include <sstream>
#include <streambuf>
#include <type_traits>
#include <utility>

#include "frame_header_p.h"
#include "little_endian_p.h"
#include "sequoiastage/wire/piece.h"
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
  if (frame.size() - kFrameHeaderBytes > kMaxPayloadBytes) {
    return std::nullopt;
  }
  SealFrame(frame, static_cast<uint8_t>(message.index()));
  return frame;
}

void SealFrame(std::string& frame, uint8_t type) {
  const std::string_view payload =
      std::string_view(frame).substr(kFrameHeaderBytes);
  const uint64_t checksum = Checksum(type, payload);
  WriteLittleEndian<uint32_t>(frame, 0, kMagic);
  frame[kVersionOffset] = static_cast<char>(kFrameVersion);
  frame[kTypeOffset] = static_cast<char>(type);
  WriteLittleEndian<uint32_t>(frame, kLengthOffset,
                              static_cast<uint32_t>(payload.size()));
  WriteLittleEndian<uint64_t>(frame, kChecksumOffset, checksum);
}

FrameDecoder::FrameDecoder(size_t max_payload_bytes)
    : m_max_payload_bytes(max_payload_bytes),
      m_pieces(std::make_unique<PieceAssembler>(max_payload_bytes)) {}

FrameDecoder::~FrameDecoder() = default;

void FrameDecoder::Feed(std::string_view bytes) {
  if (m_consumed > kCompactBytes) {
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
  }
  m_buffer.append(bytes);
}

size_t FrameDecoder::BufferedBytes() const {
  return m_buffer.size() - m_consumed + m_pieces->HeldBytes();
}

std::optional<Message> FrameDecoder::Next() {
  while (!IsBroken()) {
    const std::string_view unread =
        std::string_view(m_buffer).substr(m_consumed);
    const auto frame = ReadFrame(unread);
    if (!frame) {
      return std::nullopt;
    }
    auto message = frame->m_type == kPieceFrameType
                       ? AddPiece(frame->m_payload)
                       : DecodePayload(frame->m_type, frame->m_payload);
    if (!message && frame->m_type != kPieceFrameType) {
      return Fail("frame payload can't be read");
    }
    if (IsBroken()) {
      return std::nullopt;
    }
    m_consumed += kFrameHeaderBytes + frame->m_payload.size();
    if (m_consumed == m_buffer.size()) {
      if (m_buffer.capacity() > kCompactBytes) {
        m_buffer = {};  // Frees the memory of a large frame.
      }
      m_buffer.clear();
      m_consumed = 0;
    }
    if (message) {
      return message;
    }
  }
  return std::nullopt;
}

std::optional<FrameDecoder::Frame> FrameDecoder::ReadFrame(
    std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const char* fault = nullptr;
  const auto length = ReadLittleEndian<uint32_t>(bytes, kLengthOffset);
  const auto type = static_cast<uint8_t>(bytes[kTypeOffset]);
  if (ReadLittleEndian<uint32_t>(bytes, 0) != kMagic) {
    fault = "frame has no magic number";
  } else if (static_cast<uint8_t>(bytes[kVersionOffset]) != kFrameVersion) {
    fault = "frame version is not supported";
  } else if (ReadLittleEndian<uint16_t>(bytes, kZero16Offset) != 0 ||
             ReadLittleEndian<uint32_t>(bytes, kZero32Offset) != 0) {
    fault = "frame header has nonzero reserved fields";
  } else if (length > m_max_payload_bytes) {
    fault = "frame payload exceeds the size limit";
  } else if (type == kPieceFrameType &&
             length > kPieceHeaderBytes + kPieceBytes) {
    fault = "piece exceeds the size limit";
  } else if (bytes.size() < kFrameHeaderBytes + length) {
    // Doubling would leave up to half of a large frame's memory unused.
    m_buffer.reserve(m_consumed + kFrameHeaderBytes + length);
    return std::nullopt;
  } else if (ReadLittleEndian<uint64_t>(bytes, kChecksumOffset) !=
             Checksum(type, bytes.substr(kFrameHeaderBytes, length))) {
    fault = "frame checksum does not match";
  }
  if (fault != nullptr) {
    Fail(fault);
    return std::nullopt;
  }
  return Frame{.m_type = type,
               .m_payload = bytes.substr(kFrameHeaderBytes, length)};
}

std::optional<Message> FrameDecoder::AddPiece(std::string_view payload) {
  std::string whole;
  switch (m_pieces->Add(payload, &whole)) {
    case PieceAssembler::Result::kIncomplete:
      return std::nullopt;
    case PieceAssembler::Result::kInvalid:
      return Fail("piece does not continue its transfer");
    case PieceAssembler::Result::kComplete:
      break;
  }
  const auto frame = ReadFrame(whole);
  if (!frame || frame->m_payload.size() + kFrameHeaderBytes != whole.size()) {
    return Fail(IsBroken() ? m_last_reason
                           : "transferred frame has the wrong length");
  }
  auto message = DecodePayload(frame->m_type, frame->m_payload);
  if (!message) {
    return Fail("frame payload can't be read");
  }
  return message;
}

std::optional<Message> FrameDecoder::Fail(std::string reason) {
  m_last_reason = std::move(reason);
  m_buffer = {};
  m_consumed = 0;
  m_pieces = std::make_unique<PieceAssembler>(m_max_payload_bytes);
  return std::nullopt;
}

}  // namespace sequoiastage
