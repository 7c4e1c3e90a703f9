#ifndef SEQUOIASTAGE_MEMBERSHIP_DATAGRAM_P_H_
#define SEQUOIASTAGE_MEMBERSHIP_DATAGRAM_P_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/membership/member_entry.h"
#include "sequoiastage/membership/membership.h"

namespace sequoiastage {

/// Number of buckets that the member list is divided into for comparison.
inline constexpr std::size_t kDigestBuckets = 256;

/// Requests an Ack from the receiver.
struct Ping {
  uint32_t m_sequence = 0;
};

/// Requests the receiver to probe `m_target` for the sender.
struct PingRequest {
  uint32_t m_sequence = 0;
  NodeId m_target{};
};

/// Reply to a Ping, or to a PingRequest whose target sent an Ack.
struct Ack {
  uint32_t m_sequence = 0;
};

/// Reply to a PingRequest whose target sent no Ack.
struct Nack {
  uint32_t m_sequence = 0;
};

/// A complete entry with its status.
struct EntryMessage {
  MemberEntry m_entry{};
  uint32_t m_status_version = 0;
  /// As in StatusMessage.
  uint16_t m_refuted_loss_version = 0;
  /// Sent to repair the receiver's copy; the receiver does not forward it.
  bool m_is_repair = false;
};

/// Liveness and configuration version of a node, written by that node.
struct StatusMessage {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_status_version = 0;
  LogOffset m_config_version{};
  /// Losses of the node's failure domain up to this version do not apply to it.
  uint16_t m_refuted_loss_version = 0;
  /// As in EntryMessage.
  bool m_is_repair = false;
};

/// A node could not reach `m_node` while its status version was
/// `m_status_version`. Void once the node has a greater status version.
struct HintMessage {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_status_version = 0;
  /// Newest loss of the node's failure domain known to the sender.
  uint16_t m_loss_version = 0;
  /// As in EntryMessage.
  bool m_is_repair = false;
};

struct FailureDomain {
  std::string m_region{};
  std::string m_name{};

  friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

/// Most members of a failure domain are hinted. Acts as a hint for each member
/// that has not refuted a loss of this or a greater version. A greater loss
/// version replaces a smaller one.
struct DomainLossMessage {
  FailureDomain m_domain{};
  uint16_t m_loss_version = 0;
  /// As in EntryMessage.
  bool m_is_repair = false;
};

/// Hashes of the sender's copies, one per bucket.
struct DigestMessage {
  /// kDigestBuckets items.
  std::vector<uint32_t> m_hashes{};
};

/// Members of a bucket whose hash differs, as the sender has them.
struct BucketMessage {
  struct Item {
    NodeId m_node;
    uint32_t m_hash = 0;
  };
  uint8_t m_bucket = 0;
  std::vector<Item> m_items{};
};

/// Versions of the sender's copy of a node. The receiver sends what it has
/// newer and requests what it has older. All versions zero: the sender has no
/// copy.
struct StampMessage {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_version = 0;
  uint32_t m_status_version = 0;
  uint32_t m_hint_version = 0;
  /// The stamp is itself a reply, so the receiver does not reply with another
  /// one.
  bool m_is_reply = false;
};

/// Opaque report to the other nodes that host the service.
struct GroupReportMessage {
  ServiceId m_service{};
  std::vector<uint8_t> m_bytes{};
};

using MembershipMessage = std::variant<Ping,
                                       PingRequest,
                                       Ack,
                                       Nack,
                                       EntryMessage,
                                       StatusMessage,
                                       HintMessage,
                                       DigestMessage,
                                       BucketMessage,
                                       StampMessage,
                                       GroupReportMessage,
                                       DomainLossMessage>;

struct DatagramHeader {
  NodeId m_from{};
  Incarnation m_incarnation{};
};

struct Datagram {
  DatagramHeader m_header;
  std::vector<MembershipMessage> m_messages{};
};

/// Encodes messages until the datagram is full.
class DatagramWriter {
 public:
  explicit DatagramWriter(const DatagramHeader& header);
  ~DatagramWriter();
  DatagramWriter(DatagramWriter&&) noexcept;
  DatagramWriter& operator=(DatagramWriter&&) noexcept;

  /// Returns false, with nothing written, if the message does not fit.
  bool Add(const MembershipMessage& message);
  bool IsEmpty() const { return m_message_count == 0; }
  std::size_t Size() const;
  /// Returns the datagram. The writer cannot be used afterwards.
  std::vector<uint8_t> Finish();

 private:
  struct Encoder;
  std::unique_ptr<Encoder> m_encoder;
  std::size_t m_message_count = 0;
};

/// Decodes a datagram. Allocates less than 64 KiB for any input. Returns empty,
/// with the error in `reason`, for anything DatagramWriter cannot write.
std::optional<Datagram> DecodeDatagram(std::span<const uint8_t> bytes,
                                       std::string* reason);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_DATAGRAM_P_H_
