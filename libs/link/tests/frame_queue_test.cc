#include "sequoiastage/link/frame_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "sequoiastage/wire/frame.h"

namespace sequoiastage {
namespace {

Message MakeOffer(uint64_t attempt, size_t body_bytes) {
  return OfferMessage{
      .m_attempt = AttemptNumber(attempt),
      .m_starts_immediately = true,
      .m_request = {
          .m_method = "GET",
          .m_body = std::string(body_bytes, static_cast<char>('a' + attempt))}};
}

Message MakeCancel(uint64_t attempt) {
  return CancelMessage{.m_attempt = AttemptNumber(attempt)};
}

void Push(FrameQueue& queue, const Message& message, bool may_split = true) {
  queue.Push(*EncodeFrame(message), SequenceOf(message), may_split);
}

// The receiving end of the queue's connection.
struct Receiver {
  FrameDecoder m_decoder;
  std::vector<Message> m_messages;

  void Feed(const std::string& bytes) {
    m_decoder.Feed(bytes);
    while (auto message = m_decoder.Next()) {
      m_messages.push_back(std::move(*message));
    }
  }

  void Drain(FrameQueue& queue) {
    while (!queue.IsEmpty()) {
      Feed(queue.Next());
    }
  }
};

// Guards against small messages that wait for a whole large one.
TEST(FrameQueueTest, SmallFrameWaitsForAtMostOnePiece) {
  FrameQueue queue;
  Push(queue, MakeOffer(1, size_t{4} << 20));
  Push(queue, MakeOffer(2, size_t{4} << 20));
  size_t longest = 0;
  for (int i = 0; i < 40; ++i) {
    longest = std::max(longest, queue.Next().size());
    Push(queue, MakeCancel(9));
    EXPECT_EQ(queue.Next(), *EncodeFrame(MakeCancel(9)));
  }
  EXPECT_LE(longest, kFrameHeaderBytes + kPieceHeaderBytes + kPieceBytes);
}

// Guards against one large message that holds up the others.
TEST(FrameQueueTest, LargeFramesShareTheLinkInTurn) {
  FrameQueue queue;
  Push(queue, MakeOffer(1, size_t{8} << 20));
  Push(queue, MakeOffer(2, 10 * kPieceBytes));
  Push(queue, MakeOffer(3, 2 * kPieceBytes));
  Receiver receiver;
  for (int i = 0; i < 3 * 3; ++i) {
    receiver.Feed(queue.Next());
  }
  ASSERT_EQ(receiver.m_messages.size(), 1U);
  EXPECT_EQ(receiver.m_messages[0], MakeOffer(3, 2 * kPieceBytes));
  receiver.Drain(queue);
  ASSERT_EQ(receiver.m_messages.size(), 3U);
  EXPECT_EQ(receiver.m_messages[1], MakeOffer(2, 10 * kPieceBytes));
}

// Guards against a stream of small messages that stops the large ones.
TEST(FrameQueueTest, SmallFramesDoNotStopATransfer) {
  FrameQueue queue;
  Push(queue, MakeOffer(1, 10 * kPieceBytes));
  Receiver receiver;
  for (int i = 0; i < 300; ++i) {
    Push(queue, MakeOffer(2, kPieceBytes / 2));
    receiver.Feed(queue.Next());
  }
  EXPECT_TRUE(std::any_of(receiver.m_messages.begin(),
                          receiver.m_messages.end(), [](const Message& each) {
                            return each == MakeOffer(1, 10 * kPieceBytes);
                          }));
}

// Guards against a request that runs although it was cancelled: its cancel
// message must not arrive before it.
TEST(FrameQueueTest, CancelDropsALargeOfferAtAnyPiece) {
  for (int sent = 0; sent <= 5; ++sent) {
    FrameQueue queue;
    Receiver receiver;
    Push(queue, MakeOffer(1, 4 * kPieceBytes));
    Push(queue, MakeOffer(2, 4 * kPieceBytes));
    for (int i = 0; i < 2 * sent; ++i) {
      receiver.Feed(queue.Next());
    }
    queue.Abandon(SequenceKey(1));
    Push(queue, MakeCancel(1));
    receiver.Drain(queue);
    EXPECT_FALSE(receiver.m_decoder.IsBroken());
    const auto begin = receiver.m_messages.begin();
    const auto end = receiver.m_messages.end();
    const auto offer = std::find(begin, end, MakeOffer(1, 4 * kPieceBytes));
    const auto cancel = std::find(begin, end, MakeCancel(1));
    EXPECT_EQ(offer != end, sent == 5);
    EXPECT_NE(cancel, end);
    EXPECT_TRUE(offer == end || offer < cancel);
    EXPECT_EQ(queue.Bytes(), 0U);
  }
}

TEST(FrameQueueTest, LaterFramesOfASequenceFollowTheLargeOne) {
  FrameQueue queue;
  Receiver receiver;
  const Message outcome = OutcomeMessage{
      .m_attempt = AttemptNumber(1),
      .m_response = {.m_status = 200, .m_body = std::string(100'000, 'r')}};
  Push(queue, outcome);
  Push(queue, MakeCancel(1));
  Push(queue, RelayMessage{.m_packed = std::string(100'000, 'p')});
  Push(queue, RelayMessage{.m_age_ms = 3});
  Push(queue, MakeCancel(2));
  receiver.Drain(queue);
  ASSERT_EQ(receiver.m_messages.size(), 5U);
  EXPECT_EQ(receiver.m_messages[0], MakeCancel(2));
  const auto begin = receiver.m_messages.begin();
  const auto end = receiver.m_messages.end();
  EXPECT_LT(std::find(begin, end, outcome),
            std::find(begin, end, MakeCancel(1)));
  EXPECT_EQ(receiver.m_messages.back(), Message(RelayMessage{.m_age_ms = 3}));
}

// Frames larger than a piece are sent whole while other builds may receive
// them.
TEST(FrameQueueTest, WithoutPiecesBytesAreTheFramesInOrder) {
  FrameQueue queue;
  std::string expected;
  std::string sent;
  for (uint64_t i = 1; i < 5; ++i) {
    Push(queue, MakeOffer(i, i * kPieceBytes), false);
    Push(queue, MakeCancel(i), false);
    expected += *EncodeFrame(MakeOffer(i, i * kPieceBytes)) +
                *EncodeFrame(MakeCancel(i));
  }
  while (!queue.IsEmpty()) {
    sent += queue.Next();
  }
  EXPECT_EQ(sent, expected);
}

// Any schedule of sends, cancels and changes of the configuration: the receiver
// gets every message that was not dropped, in the order of its sequence, and
// never breaks the connection.
RC_GTEST_PROP(FrameQueueTest, AnyScheduleArrivesInSequence, ()) {
  FrameQueue queue;
  Receiver receiver;
  std::vector<std::vector<Message>> sent(7);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const auto attempt = *rc::gen::inRange<uint64_t>(1, 6);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        // At most two of the largest are transferred at a time.
        const auto size = *rc::gen::weightedElement<size_t>(
            {{6, 10},
             {6, kPieceBytes},
             {6, 3 * kPieceBytes},
             {1, kMaxPayloadBytes / 2 - 1000}});
        const Message message = MakeOffer(attempt, size + i);
        Push(queue, message, *rc::gen::inRange(0, 4) != 0);
        sent[attempt].push_back(message);
        break;
      }
      case 2: {
        queue.Abandon(SequenceKey(attempt));
        const Message message = MakeCancel(attempt);
        Push(queue, message);
        sent[attempt].push_back(message);
        break;
      }
      default:
        if (!queue.IsEmpty()) {
          receiver.Feed(queue.Next());
        }
    }
  }
  receiver.Drain(queue);
  RC_ASSERT(!receiver.m_decoder.IsBroken());
  RC_ASSERT(queue.Bytes() == 0U);
  for (uint64_t attempt = 1; attempt < 6; ++attempt) {
    auto expected = sent[attempt].begin();
    for (const Message& message : receiver.m_messages) {
      if (SequenceOf(message) != SequenceKey(attempt)) {
        continue;
      }
      while (expected != sent[attempt].end() && *expected != message) {
        // Only offers are dropped, and only before a cancel message.
        RC_ASSERT(std::holds_alternative<OfferMessage>(*expected));
        ++expected;
      }
      RC_ASSERT(expected != sent[attempt].end());
      ++expected;
    }
    RC_ASSERT(expected == sent[attempt].end());
  }
}

}  // namespace
}  // namespace sequoiastage
