#ifndef SEQUOIASTAGE_WIRE_FRAME_H_
#define SEQUOIASTAGE_WIRE_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/wire/messages.h"

/// Frames on a TCP connection between nodes. A frame is a header of
/// kFrameHeaderBytes, then a cereal payload:
///
///   u32 magic, u8 version, u8 message type, u16 zero, u32 payload length,
///   u32 zero, u64 XXH3 checksum over type and payload; little-endian.
namespace sequoiastage {

inline constexpr size_t kFrameHeaderBytes = 24;
inline constexpr uint8_t kFrameVersion = 1;
/// Largest payload a node sends or takes.
inline constexpr size_t kMaxPayloadBytes = size_t{16} << 20;

/// `message` as one whole frame. Empty when it is above kMaxPayloadBytes or
/// has a list above kMaxListItems.
std::optional<std::string> EncodeFrame(const Message& message);

/// Splits a byte stream into messages. After a broken frame the stream can't
/// be trusted: Next() stays empty and IsBroken() is true.
class FrameDecoder {
 public:
  explicit FrameDecoder(size_t max_payload_bytes = kMaxPayloadBytes)
      : m_max_payload_bytes(max_payload_bytes) {}

  /// Adds bytes as they come from the connection.
  void Feed(std::string_view bytes);

  /// Next whole message, or empty when more bytes are needed.
  std::optional<Message> Next();

  bool IsBroken() const { return !m_last_reason.empty(); }

  /// What was wrong with the stream; empty while it is sound.
  const std::string& LastReason() const { return m_last_reason; }

 private:
  std::optional<Message> Fail(std::string reason);

  size_t m_max_payload_bytes;
  std::string m_buffer;
  size_t m_consumed = 0;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_FRAME_H_
