#ifndef SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_
#define SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_

#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/config/log_replay.h"

namespace sequoiastage {

// In-memory fake of the platform's log.
struct FakeLog {
  std::vector<std::string> m_records;
  uint64_t m_first = 0;

  LogOffset Append(std::string text) {
    m_records.push_back(std::move(text));
    return LogOffset(m_records.size() - 1);
  }
  uint64_t End() const { return m_records.size(); }
};

// Makes `replica` read at most `max` records.
template <class Replica>
void CatchUp(const FakeLog& log, Replica& replica, uint64_t max = 1U << 20) {
  for (uint64_t i = 0; i < max; ++i) {
    replica.SetFirstRetained(LogOffset(log.m_first));
    const uint64_t next = replica.NextOffset().Get();
    if (next >= log.End()) {
      return;
    }
    replica.Apply(LogOffset(next), log.m_records[next]);
  }
}

inline RecordHeader MakeHeader(const std::string& change_id,
                               const std::string& author = "jana") {
  return {.m_change_id = change_id,
          .m_author = author,
          .m_time = WallTime(std::chrono::milliseconds(1000))};
}

inline JsonDocument MakeDocument(const std::string& text) {
  Findings findings;
  return JsonDocument::Parse("test", text, findings).value();
}

// Returns a base with the sites "a" and "b" and one service "s" of 12
// instances. `extra_members` is appended to the members of the service.
inline JsonDocument BaseWithFloor(int floor,
                                  const std::string& extra_members = "") {
  return MakeDocument(
      R"({"sites": ["a", "b"], "routes": {}, "services": {"s": {"instances": 12,
          "floor": )" +
      std::to_string(floor) + extra_members + "}}}");
}

inline JsonDocument OverlayWithFloor(int floor,
                                     const std::string& extra_members = "") {
  return MakeDocument(R"({"services": {"s": {"floor": )" +
                      std::to_string(floor) + extra_members + "}}}");
}

inline std::string ChangeText(const std::string& change_id,
                              const std::string& scope,
                              std::optional<LogOffset> from,
                              const JsonDocument& content,
                              const std::string& author = "jana") {
  return ToRecordText(ConfigChange{.m_header = MakeHeader(change_id, author),
                                   .m_scope = scope,
                                   .m_from = from,
                                   .m_content = content});
}

// Builds a change of `scope` to `content` by a node with replay state `view`.
// It is a patch when `allow_patch` is set and the patch is shorter.
inline ConfigChange BuildChange(const ReplayState& view,
                                const std::string& change_id,
                                const std::string& scope,
                                const JsonDocument& content,
                                bool allow_patch) {
  ConfigChange change{.m_header = MakeHeader(change_id),
                      .m_scope = scope,
                      .m_from = view.FindVersion(scope),
                      .m_content = content};
  const auto found = view.m_scopes.find(scope);
  if (!allow_patch || found == view.m_scopes.end()) {
    return change;
  }
  return ToShortestForm(std::move(change),
                        found->second.m_content.ToDocument("test"));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_
