#include "sequoiastage/wire/piece.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "allocation_probe.h"

namespace sequoiastage {
namespace {

constexpr size_t kSlackBytes = size_t{64} * 1024;

Message MakeStart(uint64_t attempt, size_t body_bytes) {
  std::string body(body_bytes, 'b');
  for (size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>(i * 7 + attempt);
  }
  return StartMessage{.m_attempt = AttemptNumber(attempt),
                      .m_request = {.m_method = "POST", .m_body = body}};
}

std::vector<std::string> Split(TransferNumber transfer,
                               const std::string& frame) {
  std::vector<std::string> pieces;
  for (size_t offset = 0; offset < frame.size(); offset += kPieceBytes) {
    pieces.push_back(EncodePiece(transfer, frame, offset));
  }
  return pieces;
}

std::vector<Message> FeedAll(FrameDecoder& decoder, std::string_view bytes) {
  std::vector<Message> messages;
  decoder.Feed(bytes);
  while (auto message = decoder.Next()) {
    messages.push_back(std::move(*message));
  }
  return messages;
}

TEST(PieceTest, SmallFramesPassBetweenPieces) {
  const Message large = MakeStart(1, 5 * kPieceBytes);
  FrameDecoder decoder;
  std::vector<Message> received;
  for (const std::string& piece :
       Split(TransferNumber(7), *EncodeFrame(large))) {
    for (const std::string& bytes :
         {piece, *EncodeFrame(CancelMessage{.m_attempt = AttemptNumber(2)})}) {
      for (Message& message : FeedAll(decoder, bytes)) {
        received.push_back(std::move(message));
      }
    }
  }
  ASSERT_EQ(received.size(), 7U);
  EXPECT_EQ(received[5], large);
}

// Guards against a cut transfer that is taken for a message: after any number
// of its pieces, cut within a piece too, there is none.
TEST(PieceTest, CutTransferIsNeverAMessage) {
  const std::vector<std::string> pieces =
      Split(TransferNumber(0), *EncodeFrame(MakeStart(1, 4 * kPieceBytes)));
  for (size_t cut = 0; cut < pieces.size(); ++cut) {
    for (const size_t part :
         {size_t{0}, kFrameHeaderBytes - 1,
          kFrameHeaderBytes + kPieceHeaderBytes, pieces[cut].size() - 1}) {
      FrameDecoder decoder;
      for (size_t i = 0; i < cut; ++i) {
        EXPECT_TRUE(FeedAll(decoder, pieces[i]).empty());
      }
      EXPECT_TRUE(FeedAll(decoder, pieces[cut].substr(0, part)).empty());
    }
  }
}

// Guards against pieces that are joined in another order, are missing, repeated
// or come from two transfers of the same number.
TEST(PieceTest, MisplacedPieceBreaksTheStream) {
  const std::string frame = *EncodeFrame(MakeStart(1, 3 * kPieceBytes));
  const std::string other = *EncodeFrame(MakeStart(2, 3 * kPieceBytes + 9));
  const auto pieces = Split(TransferNumber(0), frame);
  const auto of_other = Split(TransferNumber(0), other);
  const std::vector<std::vector<std::string>> streams = {
      {pieces[1]},
      {pieces[0], pieces[2]},
      {pieces[0], pieces[0]},
      {pieces[0], pieces[1], pieces[1]},
      {pieces[0], of_other[1]},
      {EncodeAbandonment(TransferNumber(3), 0, frame.size())},
      {pieces[0],
       EncodeAbandonment(TransferNumber(0), 2 * kPieceBytes, frame.size())},
      // A transfer has ended with its last piece.
      {pieces[0], pieces[1], pieces[2], pieces[3], pieces[3]},
  };
  for (size_t i = 0; i < streams.size(); ++i) {
    FrameDecoder decoder;
    for (const std::string& piece : streams[i]) {
      FeedAll(decoder, piece);
    }
    EXPECT_TRUE(decoder.IsBroken()) << "stream " << i;
    EXPECT_TRUE(FeedAll(decoder, frame).empty());
  }
}

// Pieces whose own checksums are valid, while the whole frame is not: the
// checksum of the whole frame decides.
TEST(PieceTest, DamageOfTheWholeFrameIsDetected) {
  const std::string intact = *EncodeFrame(MakeStart(1, 2 * kPieceBytes));
  for (size_t at = 0; at < intact.size(); at += 997) {
    std::string frame = intact;
    frame[at] ^= 1;
    FrameDecoder decoder;
    for (const std::string& piece : Split(TransferNumber(0), frame)) {
      EXPECT_TRUE(FeedAll(decoder, piece).empty());
    }
    EXPECT_TRUE(decoder.IsBroken()) << at;
  }
}

TEST(PieceTest, TransferWithinATransferIsRefused) {
  std::string frame = *EncodeFrame(MakeStart(1, 100));
  const std::string nested = EncodePiece(TransferNumber(0), frame, 0);
  FrameDecoder decoder;
  EXPECT_TRUE(
      FeedAll(decoder, EncodePiece(TransferNumber(0), nested, 0)).empty());
  EXPECT_TRUE(decoder.IsBroken());
}

TEST(PieceTest, AbandonedTransferLeavesNothing) {
  const Message large = MakeStart(1, 3 * kPieceBytes);
  const std::string frame = *EncodeFrame(large);
  const auto pieces = Split(TransferNumber(4), frame);
  FrameDecoder decoder;
  FeedAll(decoder, pieces[0]);
  EXPECT_TRUE(FeedAll(decoder, EncodeAbandonment(TransferNumber(4), kPieceBytes,
                                                 frame.size()))
                  .empty());
  // The number may be used again.
  std::string bytes;
  for (const std::string& piece : pieces) {
    bytes += piece;
  }
  const auto messages = FeedAll(decoder, bytes);
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0], large);
}

// Guards against a peer that starts transfers and never ends them.
TEST(PieceTest, UnfinishedTransfersAreBounded) {
  const std::string frame = *EncodeFrame(MakeStart(1, 2 * kPieceBytes));
  FrameDecoder many;
  for (uint32_t i = 0; i < kMaxTransfers; ++i) {
    FeedAll(many, EncodePiece(TransferNumber(i), frame, 0));
    EXPECT_FALSE(many.IsBroken());
  }
  FeedAll(many, EncodePiece(TransferNumber(99), frame, 0));
  EXPECT_TRUE(many.IsBroken());

  const std::string half =
      *EncodeFrame(MakeStart(1, kMaxPayloadBytes / 2 + 100));
  FrameDecoder large;
  FeedAll(large, EncodePiece(TransferNumber(0), half, 0));
  EXPECT_FALSE(large.IsBroken());
  FeedAll(large, EncodePiece(TransferNumber(1), half, 0));
  EXPECT_TRUE(large.IsBroken());
}

// Guards against memory that grows with what a piece claims rather than with
// what was received.
RC_GTEST_PROP(PieceTest, ArbitraryPiecesStayWithinMemoryLimit, ()) {
  const std::string frame = *EncodeFrame(MakeStart(1, 2 * kPieceBytes));
  std::string bytes;
  const auto count = *rc::gen::inRange(1, 12);
  for (int i = 0; i < count; ++i) {
    const TransferNumber transfer(*rc::gen::inRange<uint32_t>(0, 4));
    if (*rc::gen::inRange(0, 4) == 0) {
      bytes += EncodeAbandonment(transfer, *rc::gen::inRange<size_t>(0, 40'000),
                                 *rc::gen::arbitrary<uint32_t>());
    } else {
      // A frame of arbitrary length of which only the first bytes are sent.
      std::string piece = EncodePiece(
          transfer, frame,
          kPieceBytes * *rc::gen::weightedElement<size_t>({{3, 0}, {1, 1}}));
      if (*rc::gen::inRange(0, 5) == 0) {
        piece[*rc::gen::inRange<size_t>(0, piece.size())] ^= 4;
      }
      bytes += piece;
    }
  }
  const AllocationProbe probe;
  FrameDecoder decoder;
  FeedAll(decoder, bytes);
  RC_ASSERT(probe.PeakBytes() <= 3 * bytes.size() + kSlackBytes);
}

// Any bytes in place of a piece's payload, with a valid checksum.
RC_GTEST_PROP(PieceTest, ArbitraryPieceHeaderIsNeverAMessage, ()) {
  const auto transfer = *rc::gen::arbitrary<uint32_t>();
  const auto offset = *rc::gen::arbitrary<uint32_t>();
  const auto total = *rc::gen::arbitrary<uint32_t>();
  const AllocationProbe probe;
  FrameDecoder decoder;
  RC_ASSERT(FeedAll(decoder,
                    EncodeAbandonment(TransferNumber(transfer), offset, total))
                .empty());
  RC_ASSERT(decoder.IsBroken());
  RC_ASSERT(probe.PeakBytes() <= kSlackBytes);
}

// Interleaved transfers of any sizes arrive complete, cut into any chunks.
RC_GTEST_PROP(PieceTest, InterleavedTransfersArriveComplete, ()) {
  struct Transfer {
    Message m_message;
    std::vector<std::string> m_pieces;
    size_t m_next = 0;
  };
  std::vector<Transfer> transfers;
  const auto count = *rc::gen::inRange<uint32_t>(1, 6);
  size_t left = 0;
  for (uint32_t i = 0; i < count; ++i) {
    const auto size = *rc::gen::inRange<size_t>(1, 5 * kPieceBytes);
    Message message = MakeStart(i, size);
    auto pieces = Split(TransferNumber(i), *EncodeFrame(message));
    left += pieces.size();
    transfers.push_back(
        {.m_message = std::move(message), .m_pieces = std::move(pieces)});
  }
  FrameDecoder decoder;
  size_t received = 0;
  while (left > 0) {
    Transfer& transfer = transfers[*rc::gen::inRange<size_t>(0, count)];
    if (transfer.m_next == transfer.m_pieces.size()) {
      for (Transfer& each : transfers) {
        if (each.m_next < each.m_pieces.size()) {
          const auto messages = FeedAll(decoder, each.m_pieces[each.m_next++]);
          --left;
          received += messages.size();
          break;
        }
      }
      continue;
    }
    const auto messages =
        FeedAll(decoder, transfer.m_pieces[transfer.m_next++]);
    --left;
    const bool is_last = transfer.m_next == transfer.m_pieces.size();
    RC_ASSERT(messages.size() == (is_last ? 1U : 0U));
    if (is_last) {
      RC_ASSERT(messages[0] == transfer.m_message);
    }
    received += messages.size();
  }
  RC_ASSERT(received == count);
  RC_ASSERT(!decoder.IsBroken());
}

}  // namespace
}  // namespace sequoiastage
