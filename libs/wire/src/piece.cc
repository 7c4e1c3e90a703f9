#include "sequoiastage/wire/piece.h"

#include <algorithm>
#include <utility>

#include "frame_header_p.h"
#include "little_endian_p.h"

namespace sequoiastage {

namespace {

constexpr size_t kOffsetOffset = 4;
constexpr size_t kTotalOffset = 8;

std::string Encode(TransferNumber transfer,
                   size_t offset,
                   size_t total,
                   std::string_view bytes) {
  std::string piece;
  piece.reserve(kFrameHeaderBytes + kPieceHeaderBytes + bytes.size());
  piece.resize(kFrameHeaderBytes + kPieceHeaderBytes);
  WriteLittleEndian<uint32_t>(piece, kFrameHeaderBytes, transfer.Get());
  WriteLittleEndian<uint32_t>(piece, kFrameHeaderBytes + kOffsetOffset,
                              static_cast<uint32_t>(offset));
  WriteLittleEndian<uint32_t>(piece, kFrameHeaderBytes + kTotalOffset,
                              static_cast<uint32_t>(total));
  piece.append(bytes);
  SealFrame(piece, kPieceFrameType);
  return piece;
}

}  // namespace

std::string EncodePiece(TransferNumber transfer,
                        std::string_view frame,
                        size_t offset) {
  return Encode(transfer, offset, frame.size(),
                frame.substr(offset, kPieceBytes));
}

std::string EncodeAbandonment(TransferNumber transfer,
                              size_t offset,
                              size_t total) {
  return Encode(transfer, offset, total, {});
}

PieceAssembler::Result PieceAssembler::Add(std::string_view payload,
                                           std::string* frame) {
  if (payload.size() < kPieceHeaderBytes) {
    return Result::kInvalid;
  }
  const TransferNumber number(ReadLittleEndian<uint32_t>(payload, 0));
  const size_t offset = ReadLittleEndian<uint32_t>(payload, kOffsetOffset);
  const size_t total = ReadLittleEndian<uint32_t>(payload, kTotalOffset);
  const std::string_view bytes = payload.substr(kPieceHeaderBytes);
  auto found = m_transfers.find(number);
  if (found == m_transfers.end()) {
    if (offset != 0 || bytes.empty() || total > m_max_total_bytes ||
        m_total_bytes + total > m_max_total_bytes ||
        m_transfers.size() >= kMaxTransfers) {
      return Result::kInvalid;
    }
    found = m_transfers.emplace(number, Transfer{.m_total = total}).first;
    m_total_bytes += total;
  }
  Transfer& transfer = found->second;
  if (transfer.m_total != total || transfer.m_bytes.size() != offset ||
      bytes.size() > total - offset) {
    return Result::kInvalid;
  }
  transfer.m_bytes.append(bytes);
  if (!bytes.empty() && transfer.m_bytes.size() < total) {
    return Result::kIncomplete;
  }
  *frame = std::move(transfer.m_bytes);
  m_total_bytes -= total;
  m_transfers.erase(found);
  return bytes.empty() ? Result::kIncomplete : Result::kComplete;
}

}  // namespace sequoiastage
