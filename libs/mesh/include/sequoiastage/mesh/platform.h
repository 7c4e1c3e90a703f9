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
#include "sequoiastage/base/time.h"
#include "sequoiastage/config/traffic_config.h"
#include "sequoiastage/wire/messages.h"

/// What a mesh node needs of the platform it runs on. An adapter translates
/// the platform's names into the types below; the mesh knows no others.
namespace sequoiastage {

/// What a caller's request says about itself.
struct CallerFacts {
  std::string m_request_id;
  /// Time that the caller will wait, when it says so.
  std::optional<Duration> m_time_left;
};

/// What the mesh adds to a request on its way to an instance.
struct InstanceCallFacts {
  std::string_view m_instance;
  std::string_view m_caller_service;
  Duration m_time_left{};
};

/// What an instance's answer says about itself.
struct AnswerFacts {
  /// Request that the answer belongs to; empty when it names none.
  std::string m_request_id;
  /// The instance vouches for the answer.
  bool m_is_attested = false;
  /// The instance states that it did not run the request.
  bool m_is_not_run = false;
  /// The answer comes from another instance than was meant.
  bool m_is_other_instance = false;
  /// The body was changed on the way, for instance compressed.
  bool m_is_encoded = false;
};

/// What an instance says about itself, again and again.
struct InstanceAnnouncement {
  std::string m_name;
  Endpoint m_address;
  std::string m_service;
  uint32_t m_slots = 1;
  /// Wants no new work: it will end soon.
  bool m_is_leaving = false;
  /// Grows with each announcement of one run of the instance.
  uint64_t m_sequence = 0;
  /// Start of this run, by the clock of its host, in ms since the epoch.
  uint64_t m_born_ms = 0;

  friend bool operator==(const InstanceAnnouncement&,
                         const InstanceAnnouncement&) = default;
};

/// A request to the node's own interface for its instance.
struct ControlRequest {
  enum class Kind : uint8_t {
    kAnnounce,
    /// The instance named in m_announcement.m_name has ended or is ending.
    kDeregister,
    kInvalid,
  };

  Kind m_kind = Kind::kInvalid;
  InstanceAnnouncement m_announcement;
  /// What is wrong with an invalid one.
  std::string m_reason;
};

/// Records of one topic, the newest of each key.
struct StorePage {
  std::vector<StoreRecord> m_records;
  /// Offset that the next read begins with.
  LogOffset m_next;
};

struct StoreResult {
  /// Empty when the call failed, with m_reason.
  std::optional<StorePage> m_page;
  std::string m_reason;
  /// The store has dropped the records asked for: read the newest instead.
  bool m_is_compacted = false;
};

using StoreHandler = std::function<void(StoreResult)>;

/// Translates messages. All functions are pure.
template <class T>
concept PlatformCodec = requires(const HttpRequest& request,
                                 HttpRequest& outgoing,
                                 const HttpAnswer& answer,
                                 const InstanceCallFacts& call,
                                 const StoreRecord& record,
                                 std::string* reason) {
  { T::DecodeCaller(request) } -> std::same_as<CallerFacts>;
  { T::PrepareForInstance(outgoing, call) } -> std::same_as<void>;
  { T::DecodeAnswer(answer) } -> std::same_as<AnswerFacts>;
  { T::DecodeControl(request) } -> std::same_as<ControlRequest>;
  { T::IsReadyQuery(request) } -> std::same_as<bool>;
  {
    T::DecodeConfig(record, reason)
    } -> std::same_as<std::optional<TrafficConfig>>;
};

/// Asynchronous calls to the platform's store. Handlers run on the node's
/// thread, never inside the call.
template <class T>
concept PlatformStore = requires(T store,
                                 StoreTopic topic,
                                 LogOffset from,
                                 Duration wait,
                                 std::string text,
                                 StoreHandler handler,
                                 std::function<void(bool, std::string)> done) {
  { store.ReadNewest(topic, handler) } -> std::same_as<void>;
  /// Answers when there are records at or after `from`, or after `wait`.
  { store.Follow(topic, from, wait, handler) } -> std::same_as<void>;
  /// Ends Follow() on the topic; its handler is not called.
  { store.StopFollowing(topic) } -> std::same_as<void>;
  /// Sets the value of a key in StoreTopic::kMembers.
  { store.WriteMember(text, text, done) } -> std::same_as<void>;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_MESH_PLATFORM_H_
