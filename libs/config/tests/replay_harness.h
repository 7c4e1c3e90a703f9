#ifndef SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_
#define SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_

#include <string>
#include <utility>
#include <vector>

#include "sequoiastage/config/log_replay.h"

namespace sequoiastage {

// The platform's log in memory.
struct FakeLog {
  std::vector<std::string> m_records;
  uint64_t m_first = 0;

  LogOffset Append(std::string text) {
    m_records.push_back(std::move(text));
    return LogOffset(m_records.size() - 1);
  }
  uint64_t End() const { return m_records.size(); }
};

// Lets `replica` read at most `max` records.
template <class Replica>
void CatchUp(const FakeLog& log, Replica& replica, uint64_t max = 1U << 20) {
  for (uint64_t i = 0; i < max; ++i) {
    replica.OnFirstRetained(LogOffset(log.m_first));
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

// A base with the sites "a" and "b" and one service "s" of 12 instances, with
// further members of the service.
inline JsonDocument BaseWithFloor(int floor, const std::string& more = "") {
  return MakeDocument(
      R"({"sites": ["a", "b"], "routes": {}, "services": {"s": {"instances": 12,
          "floor": )" +
      std::to_string(floor) + more + "}}}");
}

inline JsonDocument OverlayWithFloor(int floor, const std::string& more = "") {
  return MakeDocument(R"({"services": {"s": {"floor": )" +
                      std::to_string(floor) + more + "}}}");
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

// A change that makes `content` the one of `scope`, made at a node with `view`;
// a patch if `may_patch` and that is shorter.
inline ConfigChange MakeChangeOf(const ReplayState& view,
                                 const std::string& change_id,
                                 const std::string& scope,
                                 const JsonDocument& content,
                                 bool may_patch) {
  ConfigChange change{.m_header = MakeHeader(change_id),
                      .m_scope = scope,
                      .m_from = view.VersionOf(scope),
                      .m_content = content};
  const auto found = view.m_scopes.find(scope);
  if (!may_patch || found == view.m_scopes.end()) {
    return change;
  }
  return ShortestForm(std::move(change),
                      found->second.m_content.ToDocument("test"));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_CONFIG_TESTS_REPLAY_HARNESS_H_
