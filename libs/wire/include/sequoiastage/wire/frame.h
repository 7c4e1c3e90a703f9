#ifndef SEQUOIASTAGE_WIRE_FRAME_H_
#define SEQUOIASTAGE_WIRE_FRAME_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/wire/messages.h"

/// Framing of messages on a TCP connection between nodes. A frame is a header
/// of kFrameHeaderBytes, followed by a cereal payload:
///
///   u32 magic, u8 version, u8 message type, u16 zero, u32 payload length,
///   u32 zero, u64 XXH3 checksum of type and payload; little-endian.
namespace sequoiastage {

inline constexpr size_t kFrameHeaderBytes = 24;
inline constexpr uint8_t kFrameVersion = 1;
/// Largest payload that a node sends or accepts.
inline constexpr size_t kMaxPayloadBytes = size_t{16} << 20;

/// Encodes `message` as one complete frame. Empty when the payload exceeds
/// kMaxPayloadBytes or a list exceeds kMaxListItems.
std::optional<std::string> EncodeFrame(const Message& message);

class PieceAssembler;

/// Decodes a byte stream into messages. Frames that were sent in pieces (see
/// piece.h) are messages as soon as their last piece has been received. After
/// an invalid frame the rest of the stream can't be trusted: Next() stays empty
/// and IsBroken() returns true.
class FrameDecoder {
 public:
  explicit FrameDecoder(size_t max_payload_bytes = kMaxPayloadBytes);
  FrameDecoder(const FrameDecoder&) = delete;
  FrameDecoder& operator=(const FrameDecoder&) = delete;
  ~FrameDecoder();

  /// Appends bytes received from the connection, in any chunk sizes.
  void Feed(std::string_view bytes);

  /// Next complete message. Empty when more bytes are needed or the stream is
  /// broken.
  std::optional<Message> Next();

  /// Bytes of incomplete messages.
  size_t BufferedBytes() const;

  bool IsBroken() const { return !m_last_reason.empty(); }

  /// Why the stream is broken; empty while IsBroken() is false.
  const std::string& LastReason() const { return m_last_reason; }

 private:
  struct Frame {
    uint8_t m_type = 0;
    std::string_view m_payload;
  };

  // Frame that `bytes` start with; empty when more bytes are needed or the
  // frame is invalid.
  std::optional<Frame> ReadFrame(std::string_view bytes);
  std::optional<Message> AddPiece(std::string_view payload);
  std::optional<Message> Fail(std::string reason);

  size_t m_max_payload_bytes;
  std::string m_buffer;
  size_t m_consumed = 0;
  std::unique_ptr<PieceAssembler> m_pieces;
  std::string m_last_reason;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_FRAME_H_
