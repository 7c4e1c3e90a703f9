#ifndef SEQUOIASTAGE_MESH_PLATFORM_H_
#define SEQUOIASTAGE_MESH_PLATFORM_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/base/http_message.h"
#include "sequoiastage/base/ids.h"
#include "sequoiastage/base/request_rate.h"
#include "sequoiastage/base/time.h"
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/wire/messages.h"

/// Interface between a mesh node and the platform it runs on. An adapter
/// translates between the platform's message formats and the types below.
namespace sequoiastage {

/// Metadata of a caller's request.
struct CallerMetadata {
  std::string m_request_id;
  /// Remaining time until the caller's deadline; empty when the request states
  /// none.
  std::optional<Duration> m_time_left;
  /// Secret of the caller's account; empty when the request states none.
  std::string m_key;
};

/// Metadata that the mesh adds to a request for an instance.
struct InstanceCallMetadata {
  std::string_view m_instance;
  std::string_view m_caller_service;
  Duration m_time_left{};
  /// Name of the client account; empty when the request belongs to none.
  std::string_view m_account;
};

/// Metadata of an instance's response.
struct ResponseMetadata {
  /// Id of the request that the response belongs to; empty when absent.
  std::string m_request_id;
  /// The response carries an attestation by the instance that produced it.
  bool m_is_attested = false;
  /// The instance declares that it did not execute the request.
  bool m_is_not_executed = false;
  /// Another instance than the addressed one sent the response.
  bool m_is_wrong_instance = false;
  /// The body was transformed in transit, for example compressed.
  bool m_is_encoded = false;
  /// Rate of requests that the instance accepts from all hosts together; empty
  /// when the response states none.
  std::optional<RequestRate> m_rate_limit;
  /// The instance accepts no new requests and is about to stop.
  bool m_is_leaving = false;
  /// Describes a field that could not be read; empty otherwise.
  std::string m_error;
};

/// One start of an instance. Names may be used again.
struct InstanceIncarnation {
  std::string m_name;
  /// Start time by the clock of its host, in ms since the Unix epoch.
  uint64_t m_start_time_ms = 0;

  friend bool operator==(const InstanceIncarnation&,
                         const InstanceIncarnation&) = default;
};

/// Periodic announcement that an instance sends to the node of its host.
struct InstanceAnnouncement {
  std::string m_name;
  Endpoint m_address;
  std::string m_service;
  uint32_t m_slots = 1;
  /// The instance accepts no new requests and is about to stop.
  bool m_is_leaving = false;
  /// Increases with each announcement of one incarnation of the instance.
  uint64_t m_sequence = 0;
  /// Start time of this incarnation by the clock of its host, in ms since the
  /// Unix epoch.
  uint64_t m_start_time_ms = 0;

  InstanceIncarnation Incarnation() const {
    return {.m_name = m_name, .m_start_time_ms = m_start_time_ms};
  }

  friend bool operator==(const InstanceAnnouncement&,
                         const InstanceAnnouncement&) = default;
};

/// Request to the control endpoint of the node, concerning the instance of its
/// host.
struct ControlRequest {
  enum class Kind : uint8_t {
    kAnnounce,
    /// The instance `m_announcement.m_name` has stopped or is stopping. Its
    /// m_start_time_ms tells which incarnation; 0 when that is unknown.
    kDeregister,
    kInvalid,
  };

  Kind m_kind = Kind::kInvalid;
  InstanceAnnouncement m_announcement;
  /// Describes the error when `m_kind` is kInvalid; empty otherwise.
  std::string m_reason;
};

/// Newest record of each key in one topic.
struct StorePage {
  std::vector<StoreRecord> m_records;
  /// Position to start the next read from; tells the store's current era.
  StorePosition m_next;
  /// The store had further records when it sent the page.
  bool m_has_more = false;
};

struct StoreResult {
  /// Empty when the call failed; m_reason then describes the error.
  std::optional<StorePage> m_page;
  std::string m_reason;
  /// The store does not have the requested offsets, because they have been
  /// compacted away or lost; use ReadNewest() instead.
  bool m_is_compacted = false;
};

using StoreHandler = std::function<void(StoreResult)>;

/// Translates messages between the platform's formats and the mesh. All
/// functions are pure.
template <class T>
concept PlatformCodec = requires(const HttpRequest& request,
                                 HttpRequest& outgoing,
                                 const HttpResponse& response,
                                 const InstanceCallMetadata& call,
                                 const StoreRecord& record,
                                 std::string* reason) {
  { T::DecodeCaller(request) } -> std::same_as<CallerMetadata>;
  /// Removes the key of the account and what the caller states about its
  /// account, so that neither leaves the node.
  { T::RemoveCallerSecrets(outgoing) } -> std::same_as<void>;
  { T::PrepareForInstance(outgoing, call) } -> std::same_as<void>;
  { T::DecodeResponse(response) } -> std::same_as<ResponseMetadata>;
  { T::DecodeControl(request) } -> std::same_as<ControlRequest>;
  { T::IsReadinessProbe(request) } -> std::same_as<bool>;
  {
    T::DecodeConfig(record, reason)
    } -> std::same_as<std::optional<TrafficConfig>>;
};

/// Asynchronous access to the platform's store. Handlers run on the node's
/// thread and are never invoked from within the call.
template <class T>
concept PlatformStore = requires(T store,
                                 StoreTopic topic,
                                 StorePosition from,
                                 Duration wait,
                                 std::string text,
                                 StoreHandler handler,
                                 std::function<void(bool, std::string)> done) {
  { store.ReadNewest(topic, handler) } -> std::same_as<void>;
  /// Completes as soon as there are records at or after `from`, or after
  /// `wait`.
  { store.Follow(topic, from, wait, handler) } -> std::same_as<void>;
  /// Cancels ReadNewest() and Follow() on the topic without calling their
  /// handlers.
  { store.StopReading(topic) } -> std::same_as<void>;
  /// When bytes of a response that is being read last arrived; empty when there
  /// is none.
  { store.LastReceivedAt(topic) } -> std::same_as<std::optional<TimePoint>>;
  /// Sets the value of a key in StoreTopic::kMembers.
  { store.WriteMember(text, text, done) } -> std::same_as<void>;
  /// Latest era in any response of the store; empty before the first response.
  { store.Era() } -> std::same_as<std::optional<StoreEra>>;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_PLATFORM_H_
