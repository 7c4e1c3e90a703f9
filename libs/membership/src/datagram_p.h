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

/// Buckets the member list is divided into for comparison.
inline constexpr std::size_t kDigestBuckets = 256;

/// Asks the receiver to answer with an Ack.
struct Ping {
  uint32_t m_sequence = 0;
};

/// Asks the receiver to probe `m_target` for the sender.
struct PingRequest {
  uint32_t m_sequence = 0;
  NodeId m_target{};
};

/// Answer to a Ping, or to a PingRequest whose target answered.
struct Ack {
  uint32_t m_sequence = 0;
};

/// Answer to a PingRequest whose target did not answer.
struct Nack {
  uint32_t m_sequence = 0;
};

/// A whole entry with its status.
struct EntryPart {
  MemberEntry m_entry{};
  uint32_t m_status = 0;
  /// As in StatusPart.
  uint16_t m_refuted_loss = 0;
  /// Sent on request; the receiver does not pass it on.
  bool m_is_repair = false;
};

/// Sign of life and configuration version of a node, written by it.
struct StatusPart {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_status = 0;
  LogOffset m_config_version{};
  /// Losses of its failure domain up to here do not hold for the node.
  uint16_t m_refuted_loss = 0;
  /// As in EntryPart.
  bool m_is_repair = false;
};

/// Someone could not reach the node while its status was `m_status`. Void once
/// the node has a greater one.
struct HintPart {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_status = 0;
  /// Loss of the node's failure domain that the sender knows of.
  uint16_t m_loss = 0;
  /// As in EntryPart.
  bool m_is_repair = false;
};

struct FailureDomain {
  std::string m_region{};
  std::string m_name{};

  friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

/// Most members of a failure domain were hinted: a hint for each of them that
/// has not refuted a loss as great. The greater loss replaces a smaller one.
struct DomainLossPart {
  FailureDomain m_domain{};
  uint16_t m_loss = 0;
  /// As in EntryPart.
  bool m_is_repair = false;
};

/// Hashes over the sender's copies, a bucket each.
struct DigestPart {
  /// kDigestBuckets items.
  std::vector<uint32_t> m_hashes{};
};

/// The sender's members in a bucket that differs.
struct BucketPart {
  struct Item {
    NodeId m_node;
    uint32_t m_hash = 0;
  };
  uint8_t m_bucket = 0;
  std::vector<Item> m_items{};
};

/// How new the sender's copy of a node is. The receiver sends what it has newer
/// and asks for what it has older. All zero: the sender has no copy.
struct StampPart {
  NodeId m_node{};
  Incarnation m_incarnation{};
  uint32_t m_version = 0;
  uint32_t m_status = 0;
  uint32_t m_hint = 0;
  /// Answers a stamp, so it is not answered by another.
  bool m_is_reply = false;
};

/// Opaque report to the other nodes that host the service.
struct GroupPart {
  ServiceId m_service{};
  std::vector<uint8_t> m_bytes{};
};

using DatagramPart = std::variant<Ping,
                                  PingRequest,
                                  Ack,
                                  Nack,
                                  EntryPart,
                                  StatusPart,
                                  HintPart,
                                  DigestPart,
                                  BucketPart,
                                  StampPart,
                                  GroupPart,
                                  DomainLossPart>;

struct DatagramHeader {
  NodeId m_from{};
  Incarnation m_incarnation{};
};

struct Datagram {
  DatagramHeader m_header;
  std::vector<DatagramPart> m_parts{};
};

/// Encodes parts until the datagram is full.
class DatagramWriter {
 public:
  explicit DatagramWriter(const DatagramHeader& header);
  ~DatagramWriter();
  DatagramWriter(DatagramWriter&&) noexcept;
  DatagramWriter& operator=(DatagramWriter&&) noexcept;

  /// False, with nothing written, if the part does not fit any more.
  bool Add(const DatagramPart& part);
  bool IsEmpty() const { return m_parts == 0; }
  std::size_t Size() const;
  /// The datagram. The writer is used up.
  std::vector<uint8_t> Take();

 private:
  struct Encoder;
  std::unique_ptr<Encoder> m_encoder;
  std::size_t m_parts = 0;
};

/// Decodes a datagram. Allocates less than 64 KiB whatever the bytes are.
/// Empty, with the fault in `reason`, for anything DatagramWriter can't write.
std::optional<Datagram> DecodeDatagram(std::span<const uint8_t> bytes,
                                       std::string* reason);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MEMBERSHIP_DATAGRAM_P_H_
