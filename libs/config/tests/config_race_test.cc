#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>

#include "replay_harness.h"

namespace sequoiastage {
namespace {

constexpr size_t kReplicas = 4;
const std::array<std::string, 3> kScopes = {std::string(kBaseScope), "a", "b"};

// Additional members of the service. In an overlay, null removes the member of
// the base; in full content of the base it is invalid, and no patch can set it.
const std::array<std::string, 5> kExtraMembers = {
    "", R"(, "limits": {"slots": 2})",
    R"(, "limits": {"slots": 5, "timeout": "2s"})",
    R"(, "retries": {"max_attempts": 3}, "limits": {"slots": 2})",
    R"(, "limits": null)"};

enum class OperationKind : uint8_t {
  kPublish,
  // The response was lost and the operator appends the change again.
  kPublishTwice,
  // A duplicate of an earlier record arrives late.
  kLateDuplicate,
  kRead,
  kSnapshot,
  // Records covered by the newest snapshot on the log expire.
  kExpireRecords,
  kRestart,
  kMergeFromPeer,
};

struct Operation {
  OperationKind m_kind;
  uint8_t m_replica;
  uint8_t m_choice;
  uint8_t m_argument;
};

[[maybe_unused]] std::ostream& operator<<(std::ostream& out,
                                          const Operation& operation) {
  return out << "{" << int(operation.m_kind) << " " << int(operation.m_replica)
             << " " << int(operation.m_choice) << " "
             << int(operation.m_argument) << "}";
}

rc::Gen<std::vector<Operation>> OperationGenerator() {
  return rc::gen::container<std::vector<Operation>>(rc::gen::build<Operation>(
      rc::gen::set(&Operation::m_kind,
                   rc::gen::element(
                       OperationKind::kPublish, OperationKind::kPublishTwice,
                       OperationKind::kLateDuplicate, OperationKind::kRead,
                       OperationKind::kRead, OperationKind::kSnapshot,
                       OperationKind::kExpireRecords, OperationKind::kRestart,
                       OperationKind::kMergeFromPeer)),
      rc::gen::set(&Operation::m_replica,
                   rc::gen::inRange<uint8_t>(0, kReplicas)),
      rc::gen::set(&Operation::m_choice),
      rc::gen::set(&Operation::m_argument)));
}

// Deliberately naive: the last write wins, and any snapshot is restored.
class LastWriteWins {
 public:
  LogOffset NextOffset() const { return m_state.m_next; }
  void SetFirstRetained(LogOffset first) {
    m_state.m_next = std::max(m_state.m_next, first);
  }
  void Apply(LogOffset offset, const std::string& text) {
    Findings findings;
    const auto record = ParseRecord(text, findings);
    m_state.m_next = LogOffset(offset.Get() + 1);
    if (!record) {
      return;
    }
    if (const auto* change = std::get_if<ConfigChange>(&*record)) {
      ScopeState& scope = m_state.m_scopes[change->m_scope];
      const bool is_patch = change->m_form == ChangeForm::kPatch;
      if (is_patch) {
        scope.m_content.Merge(change->m_content);
      } else {
        scope.m_content = ScopeContent(change->m_content);
      }
      scope.m_version = offset;
      scope.m_header = change->m_header;
    } else if (const auto* snapshot = std::get_if<SnapshotRecord>(&*record)) {
      Merge(ParseReplayState(snapshot->m_state, findings).value());
    }
  }
  void Merge(const ReplayState& state) {
    const LogOffset next = m_state.m_next;
    m_state = state;
    m_state.m_next = std::max(next, state.m_next);
  }
  const ReplayState& State() const { return m_state; }
  std::string MakeSnapshot(const RecordHeader& header) const {
    return ToRecordText(
        SnapshotRecord{.m_header = header, .m_state = ToDocument(m_state)});
  }

 private:
  ReplayState m_state;
};

// Deliberately naive: merges a patch into any content in force, whichever
// version the patch is based on.
class ReplayIgnoringPatchBase : public LogReplay {
 public:
  ApplyOutcome Apply(LogOffset offset, const std::string& text) {
    Findings findings;
    auto record = ParseRecord(text, findings);
    auto* change = record ? std::get_if<ConfigChange>(&*record) : nullptr;
    if (change == nullptr || change->m_form == ChangeForm::kFull) {
      return LogReplay::Apply(offset, text);
    }
    change->m_from = State().FindVersion(change->m_scope);
    return LogReplay::Apply(offset, ToRecordText(*record));
  }
};

// Simulates operators that publish from lagging replicas while records are
// duplicated and expire and replicas restart. Stores the first violation in
// m_fault.
template <class Replica>
class RaceSimulation {
 public:
  RaceSimulation() : m_replicas(kReplicas) {
    m_expected_contents["start"] = BaseWithFloor(6);
    Append(ChangeText("start", kScopes[0], std::nullopt,
                      m_expected_contents["start"]));
  }

  void Run(const std::vector<Operation>& operations) {
    for (const Operation& operation : operations) {
      Execute(operation);
      CheckVersionsGrow();
      for (const Replica& replica : m_replicas) {
        CheckContents(replica);
      }
    }
    for (Replica& replica : m_replicas) {
      CatchUp(m_log, replica);
      if (replica.State() != m_observer.State()) {
        RecordFault("replicas differ in the end");
      }
    }
  }

  const std::string& FirstFault() const { return m_fault; }

 private:
  void Execute(const Operation& operation) {
    Replica& replica = m_replicas[operation.m_replica];
    switch (operation.m_kind) {
      case OperationKind::kPublish:
        Append(MakeChange(operation));
        break;
      case OperationKind::kPublishTwice: {
        const std::string change = MakeChange(operation);
        Append(change);
        Append(change);
        break;
      }
      case OperationKind::kLateDuplicate:
        Append(
            std::string(m_log.m_records[operation.m_argument % m_log.End()]));
        break;
      case OperationKind::kRead:
        CatchUp(m_log, replica, operation.m_argument % 8);
        break;
      case OperationKind::kSnapshot:
        Append(replica.MakeSnapshot(MakeHeader("snapshot")));
        break;
      case OperationKind::kExpireRecords:
        m_log.m_first = std::max(m_log.m_first, m_covered);
        break;
      case OperationKind::kRestart:
        replica = Replica();
        m_last_versions[operation.m_replica].clear();
        break;
      case OperationKind::kMergeFromPeer:
        MergeFrom(m_replicas[operation.m_choice % kReplicas], replica);
        break;
    }
  }

  // Transfers the state in its text form.
  static void MergeFrom(const Replica& peer, Replica& replica) {
    Findings findings;
    const auto document = JsonDocument::Parse(
        "peer", ToDocument(peer.State()).ToText(), findings);
    replica.Merge(ParseReplayState(document.value(), findings).value());
  }

  std::string MakeChange(const Operation& operation) {
    const std::string& scope = kScopes[operation.m_choice % kScopes.size()];
    const ReplayState& view = m_replicas[operation.m_replica].State();
    const std::string change_id = "c" + std::to_string(m_log.End());
    // Floors above 12 are invalid.
    const int floor = 1 + operation.m_argument % 13;
    const std::string& extra_members =
        kExtraMembers[operation.m_argument / 13 % kExtraMembers.size()];
    m_expected_contents[change_id] =
        scope == kBaseScope ? BaseWithFloor(floor, extra_members)
                            : OverlayWithFloor(floor, extra_members);
    const bool allow_patch = operation.m_choice / kScopes.size() % 4 > 0;
    return ToRecordText(BuildChange(
        view, change_id, scope, m_expected_contents[change_id], allow_patch));
  }

  // The observer reads every record immediately. Each accepted change must be
  // based on the previous version.
  void Append(const std::string& text) {
    const LogOffset offset = m_log.Append(text);
    Findings findings;
    const auto record = ParseRecord(text, findings);
    const auto* change = std::get_if<ConfigChange>(&*record);
    const auto before = change != nullptr
                            ? m_observer.State().FindVersion(change->m_scope)
                            : std::nullopt;
    CatchUp(m_log, m_observer);
    CheckContents(m_observer);
    if (change != nullptr &&
        m_observer.State().FindVersion(change->m_scope) == offset &&
        change->m_from != before) {
      RecordFault(
          "a change came in force that was not made from the one before");
    }
    TrackSnapshot(record, offset);
  }

  void TrackSnapshot(const std::optional<RecordContent>& record,
                     LogOffset offset) {
    const auto* snapshot = std::get_if<SnapshotRecord>(&*record);
    Findings findings;
    if (snapshot != nullptr) {
      const auto state = ParseReplayState(snapshot->m_state, findings);
      if (state->m_next <= offset) {
        m_covered = std::max(m_covered, state->m_next.Get());
      }
    }
  }

  // The document in force must be the one that the author of the change had,
  // whichever form the record has.
  void CheckContents(const Replica& replica) {
    for (const auto& [name, scope] : replica.State().m_scopes) {
      if (scope.m_content.ToText() !=
          m_expected_contents[scope.m_header.m_change_id].ToText()) {
        RecordFault("a document in force differs from its author's document");
      }
    }
  }

  void CheckVersionsGrow() {
    for (size_t i = 0; i < kReplicas; ++i) {
      for (const std::string& scope : kScopes) {
        const auto version = m_replicas[i].State().FindVersion(scope);
        if (version < m_last_versions[i][scope]) {
          RecordFault("a version decreased");
        }
        m_last_versions[i][scope] = version;
      }
    }
  }

  void RecordFault(const std::string& fault) {
    if (m_fault.empty()) {
      m_fault = fault;
    }
  }

  FakeLog m_log;
  Replica m_observer;
  std::vector<Replica> m_replicas;
  std::map<size_t, std::map<std::string, std::optional<LogOffset>>>
      m_last_versions;
  // Full documents keyed by change id.
  std::map<std::string, JsonDocument> m_expected_contents;
  uint64_t m_covered = 0;
  std::string m_fault;
};

RC_GTEST_PROP(ConfigRaceTest, VersionsGrowAndReplicasConverge, ()) {
  RaceSimulation<LogReplay> race;
  race.Run(*OperationGenerator());
  RC_ASSERT(race.FirstFault() == "");
}

TEST(ConfigRaceTest, LastWriteWinsFailsTheSameProperty) {
  std::map<std::string, int> faults;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    RaceSimulation<LastWriteWins> race;
    race.Run(OperationGenerator()(rc::Random(seed), 60).value());
    ++faults[race.FirstFault()];
  }
  EXPECT_GT(
      faults["a change came in force that was not made from the one before"],
      0);
  EXPECT_GT(faults["a version decreased"], 0);
  EXPECT_LT(faults[""], 50);
}

TEST(ConfigRaceTest, IgnoringThePatchBaseFailsTheSameProperty) {
  std::map<std::string, int> faults;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    RaceSimulation<ReplayIgnoringPatchBase> race;
    race.Run(OperationGenerator()(rc::Random(seed), 60).value());
    ++faults[race.FirstFault()];
  }
  EXPECT_GT(faults["a document in force differs from its author's document"],
            0);
  EXPECT_GT(
      faults["a change came in force that was not made from the one before"],
      0);
  EXPECT_LT(faults[""], 75);
}

// A replica that reads only the log, without state from a peer, reaches the
// same state.
RC_GTEST_PROP(ConfigRaceTest, AnyStartingPointGivesTheSameState, ()) {
  FakeLog log;
  LogReplay observer;
  uint64_t covered = 0;
  const auto draws =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(-40, 140));
  for (const int draw : draws) {
    if (draw < 0) {
      covered = std::max(covered, observer.State().m_next.Get());
      log.Append(observer.MakeSnapshot(MakeHeader("s")));
    } else {
      const std::string& extra_members =
          kExtraMembers[draw / 14 % kExtraMembers.size()];
      log.Append(ToRecordText(BuildChange(
          observer.State(), "c" + std::to_string(log.End()), kScopes[0],
          BaseWithFloor(draw % 14, extra_members), draw < 70)));
    }
    CatchUp(log, observer);
  }
  log.m_first = *rc::gen::inRange<uint64_t>(0, covered + 1);
  LogReplay fresh;
  CatchUp(log, fresh);
  RC_ASSERT(fresh.IsComplete());
  RC_ASSERT(fresh.State() == observer.State());
}

}  // namespace
}  // namespace sequoiastage
