#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "config_reader_p.h"
#include "sequoiastage/checkedjson/json_reader.h"

namespace sequoiastage {

namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr uint32_t kMaxInstances = 100'000;
constexpr uint32_t kMaxSlots = 1'024;
constexpr uint32_t kMaxQueueLength = 10'000;
constexpr uint32_t kMaxAttempts = 10;
constexpr double kMinHedgeQuantile = 0.5;
// A node keeps too few samples to estimate higher quantiles.
constexpr double kMaxHedgeQuantile = 0.99;
constexpr double kMaxShare = 1'000;
constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr Duration kMaxTimeout = std::chrono::minutes(10);
constexpr Duration kMinFalseEjectionBound = std::chrono::hours(1);
constexpr Duration kMaxFalseEjectionBound = std::chrono::hours(1'000'000);
constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

// Reads the document of one site. An instance reads a single document.
class ConfigReader {
 public:
  // Routes can also refer to `other_services`.
  ConfigReader(const JsonDocument& document,
               const std::vector<Service>& other_services,
               Findings& findings)
      : m_root(JsonObject::Root(document, findings)),
        m_other_services(other_services) {}

  Config Read(std::string site) {
    m_config.m_site = std::move(site);
    m_root.ReadArray("sites");
    ReadServices();
    ReadRoutes();
    ReadAccounts();
    m_root.ReportUnknownKeys();
    return std::move(m_config);
  }

 private:
  // Reports an invalid name, or one whose handle is taken by another name.
  template <class Id>
  static bool CheckName(const std::string& name,
                        Id id,
                        std::map<Id, std::string>& names,
                        const JsonValue& value) {
    if (!IsConfigName(name)) {
      value.Report(std::string(kConfigNameFault));
      return false;
    }
    const auto [other, is_new] = names.emplace(id, name);
    if (!is_new) {
      value.Report("has the same handle as \"" + other->second +
                   "\"; choose another name");
    }
    return is_new;
  }

  template <class T>
  static void SortById(std::vector<T>& items) {
    std::sort(items.begin(), items.end(),
              [](const T& a, const T& b) { return a.m_id < b.m_id; });
  }

  void ReadServices() {
    auto services = m_root.ReadObject("services", Presence::kRequired);
    if (!services) {
      return;
    }
    std::vector<Service> parsed;
    for (auto& [name, value] : services->Members()) {
      Service service{.m_name = name, .m_id = MakeServiceId(name)};
      auto object = value.AsObject();
      if (!CheckName(name, service.m_id, m_service_names, value) || !object) {
        continue;
      }
      ReadService(*object, service);
      parsed.push_back(std::move(service));
    }
    SortById(parsed);
    m_config.m_services = SharedList<Service>(std::move(parsed));
  }

  static void ReadService(JsonObject& object, Service& service) {
    const bool has_instances = object.ReadInteger<uint32_t>(
        "instances", service.m_instances, {.m_min = 1, .m_max = kMaxInstances},
        Presence::kRequired);
    const bool has_floor = object.ReadInteger<uint32_t>(
        "floor", service.m_floor, {.m_min = 1, .m_max = kMaxInstances},
        Presence::kRequired);
    if (has_instances && has_floor && service.m_floor > service.m_instances) {
      object.ReportAt("floor", "is " + std::to_string(service.m_floor) +
                                   ", above the " +
                                   std::to_string(service.m_instances) +
                                   " instances of the service");
    }
    ReadEjection(object, service.m_ejection);
    ReadLimits(object, service.m_limits);
    ReadRetries(object, service.m_retries);
    std::string header;
    if (object.ReadString("completeness_header", header)) {
      service.m_completeness_header = std::move(header);
    }
    object.ReportUnknownKeys();
  }

  static void ReadEjection(JsonObject& service, EjectionBounds& ejection) {
    auto object = service.ReadObject("ejection");
    if (!object) {
      return;
    }
    Duration bound{};
    if (object->ReadDuration("false_ejection_bound", bound,
                             {.m_min = kMinFalseEjectionBound,
                              .m_max = kMaxFalseEjectionBound})) {
      using Hours = std::chrono::duration<double, std::ratio<3600>>;
      ejection.m_false_ejection_bound = InstanceHours(Hours(bound).count());
    }
    object->ReportUnknownKeys();
  }

  static void ReadLimits(JsonObject& service, ServiceLimits& limits) {
    auto object = service.ReadObject("limits");
    if (!object) {
      return;
    }
    object->ReadInteger<uint32_t>("slots", limits.m_slots,
                                  {.m_min = 1, .m_max = kMaxSlots});
    object->ReadInteger<uint32_t>("queue_length", limits.m_queue_length,
                                  {.m_min = 0, .m_max = kMaxQueueLength});
    object->ReadDuration("timeout", limits.m_timeout,
                         {.m_min = kMinTimeout, .m_max = kMaxTimeout});
    object->ReportUnknownKeys();
  }

  static void ReadRetries(JsonObject& service, RetryLimits& retries) {
    auto object = service.ReadObject("retries");
    if (!object) {
      return;
    }
    object->ReadNumber("budget_share", retries.m_budget_share,
                       {.m_min = 0, .m_max = 1});
    object->ReadInteger<uint32_t>("max_attempts", retries.m_max_attempts,
                                  {.m_min = 1, .m_max = kMaxAttempts});
    object->ReadBool("hedge", retries.m_hedge);
    object->ReadNumber(
        "hedge_quantile", retries.m_hedge_quantile,
        {.m_min = kMinHedgeQuantile, .m_max = kMaxHedgeQuantile});
    object->ReportUnknownKeys();
  }

  void ReadRoutes() {
    auto routes = m_root.ReadObject("routes", Presence::kRequired);
    if (!routes) {
      return;
    }
    std::vector<Route> parsed;
    for (auto& [name, value] : routes->Members()) {
      if (!IsConfigName(name)) {
        value.Report(std::string(kConfigNameFault));
      }
      auto object = value.AsObject();
      if (!object) {
        continue;
      }
      Route route{.m_name = name};
      ReadRoute(*object, route);
      parsed.push_back(std::move(route));
    }
    m_config.m_routes = SharedList<Route>(std::move(parsed));
  }

  void ReadRoute(JsonObject& object, Route& route) {
    const bool has_host = ReadHost(object, route.m_host);
    const bool has_path = ReadPath(object, route.m_path);
    if (has_host && has_path) {
      CheckOverlap(object, route);
    }
    std::string service;
    if (object.ReadString("service", service, Presence::kRequired)) {
      route.m_service = MakeServiceId(service);
      if (!IsKnownService(route.m_service, service)) {
        object.ReportAt("service",
                        "is the unknown service \"" + service + "\"");
      }
    }
    ReadMethods(object, "methods", route.m_methods);
    ReadMethods(object, "idempotent", route.m_idempotent);
    object.ReportUnknownKeys();
  }

  bool IsKnownService(ServiceId id, const std::string& name) const {
    const auto parsed = m_service_names.find(id);
    if (parsed != m_service_names.end()) {
      return parsed->second == name;
    }
    const auto other =
        std::lower_bound(m_other_services.begin(), m_other_services.end(), id,
                         [](const Service& service, ServiceId key) {
                           return service.m_id < key;
                         });
    return other != m_other_services.end() && other->m_name == name;
  }

  static bool ReadHost(JsonObject& object, std::string& host) {
    if (!object.ReadString("host", host, Presence::kRequired)) {
      return false;
    }
    const bool is_valid =
        host == "*" || std::all_of(host.begin(), host.end(), [](char c) {
          return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
                 c == '-';
        });
    if (!is_valid) {
      object.ReportAt("host",
                      "is no lower-case host name without port and no \"*\"");
    }
    return is_valid;
  }

  static bool ReadPath(JsonObject& object, std::string& path) {
    if (!object.ReadString("path", path, Presence::kRequired)) {
      return false;
    }
    const bool is_valid = path.front() == '/' &&
                          path.find("//") == std::string::npos &&
                          path.find_first_of("?# ") == std::string::npos;
    if (!is_valid) {
      object.ReportAt("path",
                      "is no path that starts with \"/\", without query, "
                      "spaces and empty segments");
    }
    return is_valid;
  }

  void CheckOverlap(const JsonObject& object, const Route& route) {
    const auto [other, is_new] = m_route_names.emplace(
        std::pair(route.m_host, std::string(RoutePrefix(route.m_path))),
        route.m_name);
    if (!is_new) {
      object.Report("has the same host and path as route \"" + other->second +
                    "\"");
    }
  }

  static void ReadMethods(JsonObject& object,
                          std::string_view key,
                          std::vector<std::string>& methods) {
    if (!object.Has(key)) {
      return;
    }
    methods.clear();
    for (const JsonValue& element : object.ReadArray(key)) {
      const auto method = element.AsString();
      if (!method) {
        continue;
      }
      if (std::find(kMethods.begin(), kMethods.end(), *method) ==
          kMethods.end()) {
        element.Report("is no HTTP method in upper case");
        continue;
      }
      methods.push_back(*method);
    }
  }

  void ReadAccounts() {
    auto accounts = m_root.ReadObject("accounts");
    if (!accounts) {
      return;
    }
    std::vector<Account> parsed;
    for (auto& [name, value] : accounts->Members()) {
      Account account{.m_name = name, .m_id = MakeAccountId(name)};
      auto object = value.AsObject();
      if (!CheckName(name, account.m_id, m_account_names, value) || !object) {
        continue;
      }
      object->ReadNumber("share", account.m_share,
                         {.m_min = 1 / kMaxShare, .m_max = kMaxShare});
      object->ReportUnknownKeys();
      parsed.push_back(std::move(account));
    }
    SortById(parsed);
    m_config.m_accounts = SharedList<Account>(std::move(parsed));
  }

  JsonObject m_root;
  const std::vector<Service>& m_other_services;
  Config m_config;
  std::map<ServiceId, std::string> m_service_names;
  std::map<AccountId, std::string> m_account_names;
  // Route names keyed by host and path.
  std::map<std::pair<std::string, std::string>, std::string> m_route_names;
};

}  // namespace

bool IsConfigName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

Config ReadConfig(std::string site,
                  const JsonDocument& document,
                  Findings& findings) {
  return ReadPartialConfig(std::move(site), document, {}, findings);
}

Config ReadPartialConfig(std::string site,
                         const JsonDocument& document,
                         const std::vector<Service>& other_services,
                         Findings& findings) {
  return ConfigReader(document, other_services, findings).Read(std::move(site));
}

std::string_view RoutePrefix(std::string_view path) {
  if (!path.empty() && path.back() == '/') {
    path.remove_suffix(1);
  }
  return path;
}

}  // namespace sequoiastage
