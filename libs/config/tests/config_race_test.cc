#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>

#include "replay_harness.h"

namespace sequoiastage {
namespace {

constexpr size_t kReplicas = 4;
const std::array<std::string, 3> kScopes = {std::string(kBaseScope), "a", "b"};

// Further members of the service. A null removes what the base has; as whole
// content of the base it is invalid, and no patch can set it.
const std::array<std::string, 5> kMore = {
    "", R"(, "limits": {"slots": 2})",
    R"(, "limits": {"slots": 5, "timeout": "2s"})",
    R"(, "retries": {"max_attempts": 3}, "limits": {"slots": 2})",
    R"(, "limits": null)"};

enum class StepKind : uint8_t {
  kPublish,
  // The answer was lost and the operator appends the change once more.
  kPublishTwice,
  // A copy of an earlier record arrives late.
  kLateCopy,
  kRead,
  kSnapshot,
  // Records that the newest snapshot on the log covers age out.
  kAgeOut,
  kRestart,
  kMergeFromPeer,
};

struct Step {
  StepKind m_kind;
  uint8_t m_replica;
  uint8_t m_choice;
  uint8_t m_amount;
};

[[maybe_unused]] std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << int(step.m_kind) << " " << int(step.m_replica) << " "
             << int(step.m_choice) << " " << int(step.m_amount) << "}";
}

rc::Gen<std::vector<Step>> Steps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::m_kind,
                   rc::gen::element(StepKind::kPublish, StepKind::kPublishTwice,
                                    StepKind::kLateCopy, StepKind::kRead,
                                    StepKind::kRead, StepKind::kSnapshot,
                                    StepKind::kAgeOut, StepKind::kRestart,
                                    StepKind::kMergeFromPeer)),
      rc::gen::set(&Step::m_replica, rc::gen::inRange<uint8_t>(0, kReplicas)),
      rc::gen::set(&Step::m_choice), rc::gen::set(&Step::m_amount)));
}

// Deliberately naive: the last write wins, and any snapshot is taken.
class LastWriteWins {
 public:
  LogOffset NextOffset() const { return m_state.m_next; }
  void OnFirstRetained(LogOffset first) {
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

// Deliberately naive: a patch is merged into whatever is in force.
class PatchesWhateverIsInForce : public LogReplay {
 public:
  ApplyOutcome Apply(LogOffset offset, const std::string& text) {
    Findings findings;
    auto record = ParseRecord(text, findings);
    auto* change = record ? std::get_if<ConfigChange>(&*record) : nullptr;
    if (change == nullptr || change->m_form == ChangeForm::kWhole) {
      return LogReplay::Apply(offset, text);
    }
    change->m_from = State().VersionOf(change->m_scope);
    return LogReplay::Apply(offset, ToRecordText(*record));
  }
};

// Operators publish from replicas that lag, while records are copied, age out
// and replicas restart. Notes the first fault in m_fault.
template <class Replica>
class Race {
 public:
  Race() : m_replicas(kReplicas) {
    m_meant["start"] = BaseWithFloor(6);
    Append(ChangeText("start", kScopes[0], std::nullopt, m_meant["start"]));
  }

  void Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Do(step);
      CheckVersionsGrow();
      for (const Replica& replica : m_replicas) {
        CheckMeaning(replica);
      }
    }
    for (Replica& replica : m_replicas) {
      CatchUp(m_log, replica);
      if (replica.State() != m_observer.State()) {
        Fault("replicas differ in the end");
      }
    }
  }

  const std::string& FirstFault() const { return m_fault; }

 private:
  void Do(const Step& step) {
    Replica& replica = m_replicas[step.m_replica];
    switch (step.m_kind) {
      case StepKind::kPublish:
        Append(MakeChange(step));
        break;
      case StepKind::kPublishTwice: {
        const std::string change = MakeChange(step);
        Append(change);
        Append(change);
        break;
      }
      case StepKind::kLateCopy:
        Append(std::string(m_log.m_records[step.m_amount % m_log.End()]));
        break;
      case StepKind::kRead:
        CatchUp(m_log, replica, step.m_amount % 8);
        break;
      case StepKind::kSnapshot:
        Append(replica.MakeSnapshot(MakeHeader("snapshot")));
        break;
      case StepKind::kAgeOut:
        m_log.m_first = std::max(m_log.m_first, m_covered);
        break;
      case StepKind::kRestart:
        replica = Replica();
        m_seen[step.m_replica].clear();
        break;
      case StepKind::kMergeFromPeer:
        MergeFrom(m_replicas[step.m_choice % kReplicas], replica);
        break;
    }
  }

  // The state goes through its text form.
  static void MergeFrom(const Replica& peer, Replica& replica) {
    Findings findings;
    const auto document = JsonDocument::Parse(
        "peer", ToDocument(peer.State()).ToText(), findings);
    replica.Merge(ParseReplayState(document.value(), findings).value());
  }

  std::string MakeChange(const Step& step) {
    const std::string& scope = kScopes[step.m_choice % kScopes.size()];
    const ReplayState& view = m_replicas[step.m_replica].State();
    const std::string change_id = "c" + std::to_string(m_log.End());
    // Floors above 12 are invalid.
    const int floor = 1 + step.m_amount % 13;
    const std::string& more = kMore[step.m_amount / 13 % kMore.size()];
    m_meant[change_id] = scope == kBaseScope ? BaseWithFloor(floor, more)
                                             : OverlayWithFloor(floor, more);
    const bool may_patch = step.m_choice / kScopes.size() % 4 > 0;
    return ToRecordText(
        MakeChangeOf(view, change_id, scope, m_meant[change_id], may_patch));
  }

  // The observer reads every record at once. Each change that comes in force
  // has to be made from the one before.
  void Append(const std::string& text) {
    const LogOffset offset = m_log.Append(text);
    Findings findings;
    const auto record = ParseRecord(text, findings);
    const auto* change = std::get_if<ConfigChange>(&*record);
    const auto before = change != nullptr
                            ? m_observer.State().VersionOf(change->m_scope)
                            : std::nullopt;
    CatchUp(m_log, m_observer);
    CheckMeaning(m_observer);
    if (change != nullptr &&
        m_observer.State().VersionOf(change->m_scope) == offset &&
        change->m_from != before) {
      Fault("a change came in force that was not made from the one before");
    }
    NoteSnapshot(record, offset);
  }

  void NoteSnapshot(const std::optional<RecordContent>& record,
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

  // What is in force has to be the document that the author of the change had,
  // whichever form the record has.
  void CheckMeaning(const Replica& replica) {
    for (const auto& [name, scope] : replica.State().m_scopes) {
      if (scope.m_content.ToText() !=
          m_meant[scope.m_header.m_change_id].ToText()) {
        Fault("a document in force is not the one its author had");
      }
    }
  }

  void CheckVersionsGrow() {
    for (size_t i = 0; i < kReplicas; ++i) {
      for (const std::string& scope : kScopes) {
        const auto version = m_replicas[i].State().VersionOf(scope);
        if (version < m_seen[i][scope]) {
          Fault("a version went back");
        }
        m_seen[i][scope] = version;
      }
    }
  }

  void Fault(const std::string& fault) {
    if (m_fault.empty()) {
      m_fault = fault;
    }
  }

  FakeLog m_log;
  Replica m_observer;
  std::vector<Replica> m_replicas;
  std::map<size_t, std::map<std::string, std::optional<LogOffset>>> m_seen;
  // Whole documents by change id.
  std::map<std::string, JsonDocument> m_meant;
  uint64_t m_covered = 0;
  std::string m_fault;
};

RC_GTEST_PROP(ConfigRaceTest, VersionsGrowAndReplicasConverge, ()) {
  Race<LogReplay> race;
  race.Run(*Steps());
  RC_ASSERT(race.FirstFault() == "");
}

TEST(ConfigRaceTest, LastWriteWinsFailsTheSameProperty) {
  std::map<std::string, int> faults;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    Race<LastWriteWins> race;
    race.Run(Steps()(rc::Random(seed), 60).value());
    ++faults[race.FirstFault()];
  }
  EXPECT_GT(
      faults["a change came in force that was not made from the one before"],
      0);
  EXPECT_GT(faults["a version went back"], 0);
  EXPECT_LT(faults[""], 50);
}

TEST(ConfigRaceTest, PatchingWhateverIsInForceFailsTheSameProperty) {
  std::map<std::string, int> faults;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    Race<PatchesWhateverIsInForce> race;
    race.Run(Steps()(rc::Random(seed), 60).value());
    ++faults[race.FirstFault()];
  }
  EXPECT_GT(faults["a document in force is not the one its author had"], 0);
  EXPECT_GT(
      faults["a change came in force that was not made from the one before"],
      0);
  EXPECT_LT(faults[""], 75);
}

// A replica that reads the log alone, with no peer to ask, gets there too.
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
      const std::string& more = kMore[draw / 14 % kMore.size()];
      log.Append(ToRecordText(
          MakeChangeOf(observer.State(), "c" + std::to_string(log.End()),
                       kScopes[0], BaseWithFloor(draw % 14, more), draw < 70)));
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
