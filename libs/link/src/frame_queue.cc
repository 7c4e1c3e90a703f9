#include "sequoiastage/link/frame_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiastage {

namespace {

// A piece is sent after this many bytes of small frames, so that a stream of
// them does not stop the transfers.
constexpr size_t kMaxPassingBytes = 4 * kPieceBytes;

}  // namespace

void FrameQueue::Push(std::string frame,
                      std::optional<SequenceKey> sequence,
                      bool may_split) {
  m_bytes += frame.size();
  if (const auto earlier = FindLarge(sequence); earlier != m_large.end()) {
    earlier->m_followers.push_back(std::move(frame));
    return;
  }
  if (!may_split || frame.size() <= kPieceBytes) {
    PushReady(std::move(frame));
    return;
  }
  m_large.push_back({.m_frame = std::move(frame),
                     .m_sequence = sequence,
                     .m_after = m_ready_pushed});
}

void FrameQueue::Abandon(SequenceKey sequence) {
  const auto found = FindLarge(sequence);
  if (found == m_large.end()) {
    return;
  }
  m_bytes -= found->m_frame.size();
  if (found->m_sent > 0) {
    m_abandonments.push_back(EncodeAbandonment(found->m_transfer, found->m_sent,
                                               found->m_frame.size()));
    m_bytes += m_abandonments.back().size();
  }
  Finish(found);
}

std::string FrameQueue::Next() {
  if (!m_abandonments.empty()) {
    std::string frame = std::move(m_abandonments.front());
    m_abandonments.pop_front();
    m_bytes -= frame.size();
    return frame;
  }
  StartTransfers();
  if (m_transfers > 0 &&
      (m_ready.empty() || m_passed_bytes >= kMaxPassingBytes)) {
    return NextPiece();
  }
  return m_ready.empty() ? std::string() : NextReady();
}

FrameQueue::LargeFrames::iterator FrameQueue::FindLarge(
    std::optional<SequenceKey> sequence) {
  return std::find_if(m_large.begin(), m_large.end(),
                      [&sequence](const LargeFrame& large) {
                        return sequence && large.m_sequence == sequence;
                      });
}

void FrameQueue::PushReady(std::string frame) {
  m_ready.push_back(std::move(frame));
  ++m_ready_pushed;
}

std::string FrameQueue::NextReady() {
  std::string frame = std::move(m_ready.front());
  m_ready.pop_front();
  ++m_ready_taken;
  m_bytes -= frame.size();
  m_passed_bytes += frame.size();
  return frame;
}

void FrameQueue::StartTransfers() {
  for (auto next =
           std::next(m_large.begin(), static_cast<std::ptrdiff_t>(m_transfers));
       next != m_large.end() && m_transfers < kMaxTransfers &&
       next->m_after <= m_ready_taken &&
       m_transfer_bytes + next->m_frame.size() <= kMaxTransferBytes;
       ++next) {
    next->m_transfer = TransferNumber(m_next_transfer++);
    ++m_transfers;
    m_transfer_bytes += next->m_frame.size();
  }
}

std::string FrameQueue::NextPiece() {
  m_passed_bytes = 0;
  const auto large = m_large.begin();
  std::string piece =
      EncodePiece(large->m_transfer, large->m_frame, large->m_sent);
  large->m_sent += piece.size() - kFrameHeaderBytes - kPieceHeaderBytes;
  if (large->m_sent == large->m_frame.size()) {
    m_bytes -= large->m_frame.size();
    Finish(large);
  } else {
    m_large.splice(
        std::next(m_large.begin(), static_cast<std::ptrdiff_t>(m_transfers)),
        m_large, large);
  }
  return piece;
}

void FrameQueue::Finish(LargeFrames::iterator large) {
  const auto position =
      static_cast<size_t>(std::distance(m_large.begin(), large));
  if (position < m_transfers) {
    --m_transfers;
    m_transfer_bytes -= large->m_frame.size();
  }
  std::deque<std::string> followers = std::move(large->m_followers);
  const std::optional<SequenceKey> sequence = large->m_sequence;
  m_large.erase(large);
  for (std::string& frame : followers) {
    m_bytes -= frame.size();
    Push(std::move(frame), sequence, true);
  }
}

}  // namespace sequoiastage
