// What a node makes of the messages of another node that starts again: they
// arrive over several connections, in any order.
#include <algorithm>
#include <array>
#include <functional>
#include <memory>

#include "fake_peer.h"
#include "mesh_node_fixture.h"

namespace sequoiastage {
namespace {

class RestartedPeerTest : public MeshNodeTest {
 protected:
  RestartedPeerTest() {
    PublishConfig("1 a /x/ plans");
    StartPeer();
    PublishRecord();
  }

  // The next process of the node.
  void StartPeer() {
    ++m_incarnation;
    m_peer = std::make_unique<FakePeer>(
        m_io,
        PeerKey{.m_node = m_node, .m_incarnation = Incarnation(m_incarnation)});
  }

  // Ends the process; its connections stay open until the result is destroyed.
  std::unique_ptr<FakePeer> Restart() {
    m_peer->StopListening();
    std::unique_ptr<FakePeer> ended = std::move(m_peer);
    StartPeer();
    return ended;
  }

  // Writes the member record of the current process, and waits until the first
  // node has it.
  void PublishRecord(const std::string& more = "") {
    m_log.Write(StoreTopic::kMembers, ToString(m_node),
                R"({"node":")" + ToString(m_node) +
                    R"(","domain":"e","region":"s","incarnation":)" +
                    std::to_string(m_incarnation) + R"(,"instance":"i-)" +
                    std::to_string(m_instance) + R"(","instance_start_ms":)" +
                    std::to_string(m_instance) + R"(,"service":)" +
                    std::to_string(MakeServiceId("plans").Get()) +
                    R"(,"slots":3)" + more + "}");
    // Records are applied in their order.
    const std::string next =
        ToString(TestNode::EndpointAt(static_cast<uint8_t>(++m_members), 7000));
    m_log.Write(StoreTopic::kMembers, next,
                R"({"node":")" + next + R"(","domain":"e","region":"s"})");
    ASSERT_TRUE(RunUntil(m_io, [this] {
      return m_first->m_node.Metrics().find("sequoiastage_mesh_members " +
                                            std::to_string(m_members)) !=
             std::string::npos;
    }));
  }

  // Waits until the first node has handled what `peer` sends.
  void Deliver(FakePeer& peer, const std::function<void()>& send) {
    const int before = peer.m_replies;
    send();
    EXPECT_TRUE(RunUntil(m_io, [&] { return peer.m_replies > before; }));
  }

  void DrainOverAccepted(FakePeer& peer) {
    Deliver(peer, [&peer] { peer.SendOverAccepted(DrainingMessage{}); });
  }

  void DrainOverOpened(FakePeer& peer) {
    Deliver(peer, [&peer] { peer.SendOverOpened(DrainingMessage{}); });
  }

  // Whether the first node sends requests to the current process.
  bool IsUsed() {
    const int before = m_peer->m_offers;
    return WaitForStatus(*m_first, "/x/", 200) && m_peer->m_offers > before;
  }

  // Whether the first node rejects requests without an offer to the peer.
  bool IsUsedNoLonger() {
    const int before = m_peer->m_offers;
    return SendRequest(*m_first, "/x/").m_response.m_status == 503 &&
           m_peer->m_offers == before;
  }

  NodeId m_node{TestNode::EndpointAt(3, 7000)};
  uint64_t m_incarnation = 0;
  uint64_t m_instance = 1;
  // Both nodes of the fixture and the peer.
  int m_members = 3;
  std::unique_ptr<FakePeer> m_peer;
};

enum class Event : uint8_t {
  kNextRecord,
  kDrainingOverAccepted,
  kDrainingOverOpened,
  kConnectionsClosed,
};

// A process drains, ends and is started again; the first node, which stood
// still meanwhile, reads what was sent in any order.
TEST_F(RestartedPeerTest, IsUsedAgainInWhateverOrderItsMessagesArrive) {
  std::array events = {Event::kNextRecord, Event::kDrainingOverAccepted,
                       Event::kDrainingOverOpened, Event::kConnectionsClosed};
  do {
    ASSERT_TRUE(IsUsed());
    m_peer->ConnectTo(m_first->m_settings.m_peer);
    const std::unique_ptr<FakePeer> ended = Restart();
    std::string order;
    bool is_closed = false;
    for (const Event event : events) {
      order += std::to_string(static_cast<int>(event)) + " ";
      switch (event) {
        case Event::kNextRecord:
          // With every other order the instance is started again too.
          m_instance += m_incarnation % 2;
          PublishRecord();
          break;
        case Event::kDrainingOverAccepted:
          if (!is_closed) {
            DrainOverAccepted(*ended);
          }
          break;
        case Event::kDrainingOverOpened:
          if (!is_closed) {
            DrainOverOpened(*ended);
          }
          break;
        case Event::kConnectionsClosed:
          ended->CloseConnections();
          is_closed = true;
          break;
      }
    }
    ended->CloseConnections();
    EXPECT_TRUE(IsUsed()) << "order " << order;
  } while (std::next_permutation(events.begin(), events.end()));
}

// Its record may be written once more by then, or arrive late by a relay.
TEST_F(RestartedPeerTest, IsUsedNoLongerOnceItDrains) {
  ASSERT_TRUE(IsUsed());
  DrainOverAccepted(*m_peer);
  EXPECT_TRUE(IsUsedNoLonger());
  PublishRecord(R"(,"departed":"i-0","departed_start_ms":5)");
  EXPECT_TRUE(IsUsedNoLonger());
  const auto ended = Restart();
  ended->CloseConnections();
  PublishRecord();
  EXPECT_TRUE(IsUsed());
}

// The message overtakes the record of the process that sent it.
TEST_F(RestartedPeerTest, IsNotUsedWhenItDrainsBeforeItsRecordArrives) {
  ASSERT_TRUE(IsUsed());
  const auto ended = Restart();
  m_peer->ConnectTo(m_first->m_settings.m_peer);
  DrainOverOpened(*m_peer);
  ended->CloseConnections();
  PublishRecord();
  EXPECT_TRUE(IsUsedNoLonger());
}

// The first node learns that the connection of the earlier process has ended
// when the next process has already subscribed, or reads its request late.
TEST_F(RestartedPeerTest, IsSentRecordsWhateverItsEarlierProcessDoes) {
  const auto subscribe = [this](FakePeer& peer) {
    peer.ConnectTo(m_first->m_settings.m_peer);
    Deliver(peer, [&peer] { peer.SendOverOpened(RelayRequestMessage{}); });
  };
  const auto is_sent_records = [this] {
    const int before = m_peer->m_replies;
    return RunUntil(
        m_io, [&] { return m_peer->m_replies > before + 2; },
        std::chrono::seconds(4));
  };
  subscribe(*m_peer);
  const auto ended = Restart();
  subscribe(*m_peer);
  Deliver(*ended, [&ended] { ended->SendOverOpened(RelayRequestMessage{}); });
  EXPECT_TRUE(is_sent_records());
  ended->CloseConnections();
  EXPECT_TRUE(is_sent_records());
}

}  // namespace
}  // namespace sequoiastage
