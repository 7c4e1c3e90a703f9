#ifndef SEQUOIASTAGE_CONFIG_CONFIG_H_
#define SEQUOIASTAGE_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/strong.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/config/shared_list.h"

/// The configuration in force at one site, as plain data. See config_parse.h
/// for its JSON form.
namespace sequoiastage {

/// Running time summed over instances.
using InstanceHours = Strong<struct InstanceHoursTag, double>;

/// How readily an instance is taken out of service.
struct EjectionBounds {
  /// At most one false ejection in this much running time.
  InstanceHours m_false_ejection_bound{1000};

  friend bool operator==(const EjectionBounds&,
                         const EjectionBounds&) = default;
};

/// Admission limits of a service.
struct ServiceLimits {
  /// Requests that one instance runs at a time, when it announces no number.
  uint32_t m_slots = 3;
  /// Requests that may wait for a slot of one instance.
  uint32_t m_queue_length = 6;
  /// Longest time of a request, when the caller sets no deadline.
  Duration m_timeout = std::chrono::seconds(5);

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// Limits of repeated attempts.
struct RetryLimits {
  /// Retries as a share of the service's requests.
  double m_budget_share = 0.1;
  /// Attempts for one request, the first one included.
  uint32_t m_max_attempts = 2;
  /// Idempotent requests that run long get one copy, which counts as a retry
  /// and as an attempt.
  bool m_hedge = false;
  /// A request runs long beyond this quantile of the service's recent
  /// latencies.
  double m_hedge_quantile = 0.9;

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// A group of backend server instances behind one name.
struct Service {
  std::string m_name{};
  /// ServiceIdOf(m_name).
  ServiceId m_id{};
  /// Instances expected to be in service.
  uint32_t m_instances = 0;
  /// Instances that ejections have to leave in service.
  uint32_t m_floor = 0;
  EjectionBounds m_ejection{};
  ServiceLimits m_limits{};
  RetryLimits m_retries{};
  /// Header that the backend server sets on every complete answer; an answer
  /// without it counts as incomplete. Not checked when empty.
  std::optional<std::string> m_completeness_header{};

  friend bool operator==(const Service&, const Service&) = default;
};

/// Requests that go to one service.
struct Route {
  std::string m_name{};
  /// Host in lower case without port, or "*" for any.
  std::string m_host{};
  /// Path prefix; matches whole path segments.
  std::string m_path{};
  ServiceId m_service{};
  /// Methods served; every method when empty.
  std::vector<std::string> m_methods{};
  /// Methods whose requests may run more than once.
  std::vector<std::string> m_idempotent{"GET", "HEAD"};

  bool Allows(std::string_view method) const;
  bool IsIdempotent(std::string_view method) const;

  friend bool operator==(const Route&, const Route&) = default;
};

/// A client account that callers name in their requests.
struct Account {
  std::string m_name{};
  /// AccountIdOf(m_name).
  AccountId m_id{};
  /// Weight among the accounts of an overloaded service.
  double m_share = 1.0;

  friend bool operator==(const Account&, const Account&) = default;
};

/// What is in force at one site.
struct Config {
  std::string m_site{};
  /// Sorted by m_id.
  SharedList<Service> m_services{};
  /// Sorted by name.
  SharedList<Route> m_routes{};
  /// Sorted by m_id.
  SharedList<Account> m_accounts{};

  /// Null when there is no such service.
  const Service* FindService(ServiceId id) const;
  /// Null when there is no such account.
  const Account* FindAccount(AccountId id) const;

  friend bool operator==(const Config&, const Config&) = default;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_CONFIG_H_
