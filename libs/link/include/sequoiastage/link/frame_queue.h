#ifndef SEQUOIASTAGE_LINK_FRAME_QUEUE_H_
#define SEQUOIASTAGE_LINK_FRAME_QUEUE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>

#include "sequoiastage/wire/messages.h"
#include "sequoiastage/wire/piece.h"

namespace sequoiastage {

/// Frames that wait to be sent over one connection. Answers the load of a few
/// large messages beside many small ones on a slow link: large frames are sent
/// in pieces, in turn, and small frames pass between two pieces. Frames of one
/// sequence keep their order.
class FrameQueue {
 public:
  /// Queues an encoded frame. A frame larger than kPieceBytes is sent in pieces
  /// if `may_split`.
  void Push(std::string frame,
            std::optional<SequenceKey> sequence,
            bool may_split);

  /// Drops a large frame of `sequence` that has not been sent completely; the
  /// receiver drops what it has of it. Frames queued behind it are kept.
  void Abandon(SequenceKey sequence);

  /// Next bytes to send; empty when there are none.
  std::string Next();

  bool IsEmpty() const {
    return m_ready.empty() && m_large.empty() && m_abandonments.empty();
  }

  /// Memory of the queued frames. A frame sent in pieces counts in full until
  /// its last piece has been taken.
  size_t Bytes() const { return m_bytes; }

 private:
  struct LargeFrame {
    std::string m_frame;
    std::optional<SequenceKey> m_sequence;
    // Number of small frames that were queued before it. They are sent first,
    // because one of them may belong to the same sequence.
    uint64_t m_after = 0;
    TransferNumber m_transfer;
    size_t m_sent = 0;
    // Later frames of the same sequence.
    std::deque<std::string> m_followers;
  };
  using LargeFrames = std::list<LargeFrame>;

  LargeFrames::iterator FindLarge(std::optional<SequenceKey> sequence);
  void PushReady(std::string frame);
  std::string NextReady();
  std::string NextPiece();
  // Starts the transfers that the receiver has room for.
  void StartTransfers();
  // Queues the frames that waited for `large` and removes it.
  void Finish(LargeFrames::iterator large);

  // Sent before anything else: the receiver has to end these transfers before
  // others take their place.
  std::deque<std::string> m_abandonments;
  std::deque<std::string> m_ready;
  uint64_t m_ready_pushed = 0;
  uint64_t m_ready_taken = 0;
  // The first m_transfers frames are being sent; the first one is next.
  LargeFrames m_large;
  size_t m_transfers = 0;
  // Sum of the sizes of the frames that are being sent.
  size_t m_transfer_bytes = 0;
  uint32_t m_next_transfer = 0;
  // Bytes of small frames sent since the last piece.
  size_t m_passed_bytes = 0;
  size_t m_bytes = 0;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_LINK_FRAME_QUEUE_H_
