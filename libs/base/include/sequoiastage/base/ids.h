#ifndef SEQUOIASTAGE_BASE_IDS_H_
#define SEQUOIASTAGE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiastage/base/strong.h"

namespace sequoiastage {

/// IPv4 address and port.
struct Endpoint {
  /// Address in host byte order; 127.0.0.1 is 0x7f000001.
  uint32_t m_ip = 0;
  uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_ip, m_port);
  }
};

/// Parses "a.b.c.d:port". Empty when `text` has another form or the port is 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// Formats `endpoint` as "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

/// Formats an address in host byte order as "a.b.c.d".
std::string IpToString(uint32_t ip);

/// Identity of a node: the endpoint at which other nodes reach it (TCP and
/// UDP).
using NodeId = Strong<struct NodeIdTag, Endpoint>;

/// Identity of a backend server instance: the endpoint at which it serves HTTP.
using InstanceId = Strong<struct InstanceIdTag, Endpoint>;

/// One run of a process or instance; a later run has a greater value.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;

/// 32-bit hash of a service name, see MakeServiceId(). Configuration validation
/// rejects two names with the same hash.
using ServiceId = Strong<struct ServiceIdTag, uint32_t>;

/// 64-bit hash of the name of a client account, see MakeAccountId().
using AccountId = Strong<struct AccountIdTag, uint64_t>;

/// Offset of a record in the platform's append-only log.
using LogOffset = Strong<struct LogOffsetTag, uint64_t>;

/// Identifier of the service named `name`.
ServiceId MakeServiceId(std::string_view name);

/// Identifier of the client account named `name`.
AccountId MakeAccountId(std::string_view name);

std::string ToString(NodeId id);
std::string ToString(InstanceId id);

/// One attempt to execute a request. Unique across the fleet.
struct AttemptId {
  NodeId m_ingress;
  Incarnation m_incarnation;
  uint64_t m_counter = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_ingress, m_incarnation, m_counter);
  }
};

/// Formats `id` as "ingress/incarnation/counter".
std::string ToString(const AttemptId& id);

}  // namespace sequoiastage

template <>
struct std::hash<sequoiastage::Endpoint> {
  std::size_t operator()(const sequoiastage::Endpoint& endpoint) const;
};

template <>
struct std::hash<sequoiastage::AttemptId> {
  std::size_t operator()(const sequoiastage::AttemptId& id) const;
};

#endif  // SEQUOIASTAGE_BASE_IDS_H_
