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
  /// Address in host byte order, 127.0.0.1 is 0x7f000001.
  uint32_t m_ip = 0;
  uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_ip, m_port);
  }
};

/// Parses "a.b.c.d:port". Empty when the text is anything else or port is 0.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

/// "a.b.c.d" alone.
std::string IpToString(uint32_t ip);

/// Identity of a node: the endpoint other nodes reach it at (TCP and UDP).
using NodeId = Strong<struct NodeIdTag, Endpoint>;

/// Identity of a backend server instance: the endpoint it serves HTTP at.
using InstanceId = Strong<struct InstanceIdTag, Endpoint>;

/// One run of a process or instance; a later run has a greater value.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;

/// Compact handle of a service: hash of its name, see ServiceIdOf(). The
/// configuration check refuses two names with one handle.
using ServiceId = Strong<struct ServiceIdTag, uint32_t>;

/// Compact handle of a caller account, see AccountIdOf().
using AccountId = Strong<struct AccountIdTag, uint64_t>;

/// Offset of a record on the platform's append-only log.
using LogOffset = Strong<struct LogOffsetTag, uint64_t>;

/// Handle of the service called `name`.
ServiceId ServiceIdOf(std::string_view name);

/// Handle of the account called `name`.
AccountId AccountIdOf(std::string_view name);

std::string ToString(NodeId id);
std::string ToString(InstanceId id);

/// One try to have a request executed, unique across the fleet.
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
