#ifndef SEQUOIASTAGE_WIRE_PIECE_H_
#define SEQUOIASTAGE_WIRE_PIECE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/base/strong.h"
#include "sequoiastage/wire/frame.h"

/// Transfer of large frames in pieces, between which other frames pass. A piece
/// is a frame of type kPieceFrameType with the payload
///
///   u32 transfer, u32 offset, u32 total; little-endian; then the bytes of the
///   transferred frame from `offset` on.
///
/// `total` is the length of the transferred frame, including its header and
/// thereby its own checksum. Pieces of a transfer are sent in order. A piece
/// without bytes abandons the transfer.
namespace sequoiastage {

/// Identifies a transfer in progress on one direction of a connection.
using TransferNumber = Strong<struct TransferNumberTag, uint32_t>;

inline constexpr uint8_t kPieceFrameType = UINT8_MAX;
inline constexpr size_t kPieceHeaderBytes = 12;
/// Bytes of the transferred frame in one piece. Larger frames are sent in
/// pieces: at 10 Mbit/s a piece takes 13 ms.
inline constexpr size_t kPieceBytes = size_t{16} << 10;
/// Transfers in progress on one direction of a connection, and the sum of their
/// totals: the receiver holds no more than one frame of the largest size.
inline constexpr size_t kMaxTransfers = 16;
inline constexpr size_t kMaxTransferBytes =
    kFrameHeaderBytes + kMaxPayloadBytes;

/// Encodes the piece of `frame` that starts at `offset`.
std::string EncodePiece(TransferNumber transfer,
                        std::string_view frame,
                        size_t offset);

/// Encodes the piece that abandons a transfer of `total` bytes after `offset`
/// of them.
std::string EncodeAbandonment(TransferNumber transfer,
                              size_t offset,
                              size_t total);

/// Joins received pieces to frames.
class PieceAssembler {
 public:
  enum class Result : uint8_t { kIncomplete, kComplete, kInvalid };

  explicit PieceAssembler(size_t max_payload_bytes)
      : m_max_total_bytes(kFrameHeaderBytes + max_payload_bytes) {}

  /// Adds the payload of a piece. After kComplete, `*frame` is the transferred
  /// frame; its own checksum has not been verified.
  Result Add(std::string_view payload, std::string* frame);

  size_t TransferCount() const { return m_transfers.size(); }
  /// Bytes of incomplete frames.
  size_t HeldBytes() const {
    size_t bytes = 0;
    for (const auto& [number, transfer] : m_transfers) {
      bytes += transfer.m_bytes.size();
    }
    return bytes;
  }

 private:
  struct Transfer {
    size_t m_total = 0;
    std::string m_bytes;
  };

  size_t m_max_total_bytes;
  // Sum of the totals of m_transfers.
  size_t m_total_bytes = 0;
  std::map<TransferNumber, Transfer> m_transfers;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_PIECE_H_
