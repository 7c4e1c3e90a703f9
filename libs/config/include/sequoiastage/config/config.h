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

/// Limits on how readily the instances of a service are ejected.
struct EjectionBounds {
  /// At most one false ejection per this much running time.
  InstanceHours m_false_ejection_bound{1000};

  friend bool operator==(const EjectionBounds&,
                         const EjectionBounds&) = default;
};

/// Admission limits of a service.
struct ServiceLimits {
  /// Concurrent requests per instance, when the instance announces no number.
  uint32_t m_slots = 3;
  /// Maximum number of requests queued for a slot of one instance.
  uint32_t m_queue_length = 6;
  /// Request timeout when the caller sets no deadline.
  Duration m_timeout = std::chrono::seconds(5);

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// Limits on retries and hedged requests of a service.
struct RetryLimits {
  /// Retry budget as a fraction of the service's requests, 0 to 1.
  double m_budget_share = 0.1;
  /// Maximum attempts per request, including the first one.
  uint32_t m_max_attempts = 2;
  /// Whether slow idempotent requests are hedged once. A hedged request counts
  /// as a retry and as an attempt.
  bool m_hedge = false;
  /// Quantile of the service's recent latencies above which a request counts
  /// as slow, 0.5 to 0.99.
  double m_hedge_quantile = 0.9;

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// A group of backend server instances behind one name.
struct Service {
  std::string m_name{};
  /// MakeServiceId(m_name).
  ServiceId m_id{};
  /// Expected number of instances.
  uint32_t m_instances = 0;
  /// Minimum number of instances that ejections leave in service.
  uint32_t m_floor = 0;
  EjectionBounds m_ejection{};
  ServiceLimits m_limits{};
  RetryLimits m_retries{};
  /// Header that the backend server sets on every complete response; a response
  /// without it counts as incomplete. Not checked when empty.
  std::optional<std::string> m_completeness_header{};

  friend bool operator==(const Service&, const Service&) = default;
};

/// Maps requests of one host and path prefix to a service.
struct Route {
  std::string m_name{};
  /// Host in lower case without port, or "*" for any.
  std::string m_host{};
  /// Path prefix; matches whole path segments.
  std::string m_path{};
  ServiceId m_service{};
  /// Allowed methods; all methods when empty.
  std::vector<std::string> m_methods{};
  /// Methods whose requests are idempotent.
  std::vector<std::string> m_idempotent{"GET", "HEAD"};

  bool Allows(std::string_view method) const;
  bool IsIdempotent(std::string_view method) const;

  friend bool operator==(const Route&, const Route&) = default;
};

/// A client account that callers name in their requests.
struct Account {
  std::string m_name{};
  /// MakeAccountId(m_name).
  AccountId m_id{};
  /// Relative weight among the accounts when a service is overloaded.
  double m_share = 1.0;

  friend bool operator==(const Account&, const Account&) = default;
};

/// The configuration in force at one site.
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
