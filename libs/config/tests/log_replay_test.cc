#include "sequoiastage/config/log_replay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "replay_harness.h"
#include "sequoiastage/config/snapshot_schedule.h"

namespace sequoiastage {
namespace {

const std::string kBase(kBaseScope);

class LogReplayTest : public testing::Test {
 protected:
  const AuditEntry& Append(const std::string& text) {
    m_log.Append(text);
    CatchUp(m_log, m_replay);
    return m_replay.State().m_audit.back();
  }

  FakeLog m_log;
  LogReplay m_replay;
};

TEST_F(LogReplayTest, TheFirstOfTwoConcurrentChangesWins) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const AuditEntry accepted =
      Append(ChangeText("c1", kBase, LogOffset(0), BaseWithFloor(9), "petr"));
  EXPECT_EQ(accepted.m_verdict, AuditVerdict::kAccepted);
  EXPECT_EQ(accepted.m_differences,
            std::vector<std::string>{"replace /services/s/floor"});
  const AuditEntry rejected =
      Append(ChangeText("c2", kBase, LogOffset(0), BaseWithFloor(10)));
  EXPECT_EQ(rejected.m_verdict, AuditVerdict::kConflict);
  EXPECT_EQ(rejected.m_reason, "version 1 by petr is in force");
  EXPECT_EQ(m_replay.FindFloor(MakeServiceId("s")), 9U);
  EXPECT_EQ(m_replay.FindChange("c2")->m_offset, LogOffset(2));
}

TEST_F(LogReplayTest, AChangeAppendedTwiceIsAppliedOnce) {
  const std::string text =
      ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8));
  Append(text);
  EXPECT_EQ(Append(text).m_verdict, AuditVerdict::kDuplicate);
  EXPECT_EQ(m_replay.State().FindVersion(kBase), LogOffset(0));
  EXPECT_EQ(m_replay.FindChange("c0")->m_verdict, AuditVerdict::kAccepted);
}

TEST_F(LogReplayTest, IgnoresFaultyRecordsWithAnAuditEntry) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const AuditEntry faulty =
      Append(ChangeText("c1", kBase, LogOffset(0), BaseWithFloor(13)));
  EXPECT_EQ(faulty.m_verdict, AuditVerdict::kInvalid);
  EXPECT_EQ(faulty.m_reason,
            "base: /services/s/floor: is 13, above the 12 instances of the "
            "service");
  EXPECT_EQ(Append("no JSON").m_verdict, AuditVerdict::kInvalid);
  EXPECT_EQ(Append("").m_verdict, AuditVerdict::kInvalid);
  EXPECT_EQ(Append(R"({"type": "other"})").m_verdict, AuditVerdict::kInvalid);
  EXPECT_EQ(
      Append(ChangeText("c2", "x", std::nullopt, JsonDocument())).m_verdict,
      AuditVerdict::kInvalid);
  EXPECT_EQ(m_replay.State().FindVersion(kBase), LogOffset(0));
  EXPECT_EQ(m_replay.NextOffset(), LogOffset(6));
}

TEST_F(LogReplayTest, RefusesABaseThatDoesNotFitAnOverlay) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  Append(ChangeText("c1", "a", std::nullopt, OverlayWithFloor(11)));
  EXPECT_EQ(m_replay.FindFloor(MakeServiceId("s")), 11U);
  EXPECT_EQ(m_replay.InForce()->FindSite("b")->m_services[0].m_floor, 8U);
  const auto smaller = MakeDocument(
      R"({"sites": ["a"], "routes": {},
          "services": {"s": {"instances": 10, "floor": 8}}})");
  EXPECT_EQ(Append(ChangeText("c2", kBase, LogOffset(0), smaller)).m_verdict,
            AuditVerdict::kInvalid);
}

TEST_F(LogReplayTest, ChecksAChangeBeforeItIsAppended) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  Findings findings;
  m_replay.CheckChange({.m_header = MakeHeader("c1"),
                        .m_scope = "a",
                        .m_from = LogOffset(0),
                        .m_content = OverlayWithFloor(13)},
                       findings);
  EXPECT_EQ(findings.ToText(),
            "a: the scope has no version yet\n"
            "test: /services/s/floor: is 13, above the 12 instances of the "
            "service\n");
}

TEST_F(LogReplayTest, MergesAPatchIntoTheVersionItWasMadeFrom) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const std::string patch = ToRecordText(
      BuildChange(m_replay.State(), "c1", kBase, BaseWithFloor(9), true));
  EXPECT_NE(patch.find(R"("patch":{"services":{"s":{"floor":9}}})"),
            std::string::npos);
  const AuditEntry entry = Append(patch);
  EXPECT_EQ(entry.m_verdict, AuditVerdict::kAccepted);
  EXPECT_EQ(entry.m_differences,
            std::vector<std::string>{"replace /services/s/floor"});
  EXPECT_EQ(m_replay.State().m_scopes.at(kBase).m_content,
            ScopeContent(BaseWithFloor(9)));
  EXPECT_EQ(m_replay.FindFloor(MakeServiceId("s")), 9U);
  EXPECT_EQ(Append(patch).m_verdict, AuditVerdict::kDuplicate);
  const std::string rejected = ToRecordText(
      ConfigChange{.m_header = MakeHeader("c2"),
                   .m_scope = kBase,
                   .m_from = LogOffset(0),
                   .m_content = MakeDocument(R"({"accounts": {"x": {}}})"),
                   .m_form = ChangeForm::kPatch});
  EXPECT_EQ(Append(rejected).m_verdict, AuditVerdict::kConflict);
  EXPECT_EQ(m_replay.State().m_scopes.at(kBase).m_content,
            ScopeContent(BaseWithFloor(9)));
}

TEST_F(LogReplayTest, GivesTheShorterFormOfAChange) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  Append(ChangeText("c1", "a", std::nullopt, OverlayWithFloor(9)));
  const auto shorten = [&](const std::string& scope, JsonDocument content) {
    return m_replay.Shorten({.m_header = MakeHeader("c2"),
                             .m_scope = scope,
                             .m_from = m_replay.State().FindVersion(scope),
                             .m_content = std::move(content)});
  };
  EXPECT_EQ(shorten(kBase, BaseWithFloor(9)).m_form, ChangeForm::kPatch);
  EXPECT_EQ(shorten(kBase, BaseWithFloor(8)).m_content, JsonDocument());
  EXPECT_EQ(shorten("b", OverlayWithFloor(9)).m_form, ChangeForm::kFull);
  EXPECT_EQ(shorten("a", JsonDocument()).m_form, ChangeForm::kFull);
  const auto removal = OverlayWithFloor(9, R"(, "limits": null)");
  EXPECT_EQ(shorten("a", removal).m_form, ChangeForm::kFull);
  EXPECT_EQ(shorten("a", removal).m_content, removal);
  const ConfigChange old = m_replay.Shorten({.m_header = MakeHeader("c2"),
                                             .m_scope = kBase,
                                             .m_from = LogOffset(1),
                                             .m_content = BaseWithFloor(9)});
  EXPECT_EQ(old.m_form, ChangeForm::kFull);
}

TEST_F(LogReplayTest, ChecksTheDocumentThatResultsFromAPatch) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const auto findings_of = [&](LogOffset from, const char* patch) {
    Findings findings;
    m_replay.CheckChange({.m_header = MakeHeader("c1"),
                          .m_scope = kBase,
                          .m_from = from,
                          .m_content = MakeDocument(patch),
                          .m_form = ChangeForm::kPatch},
                         findings);
    return findings.ToText();
  };
  EXPECT_EQ(findings_of(LogOffset(0), R"({"services": {"s": {"floor": 9}}})"),
            "");
  EXPECT_EQ(findings_of(LogOffset(0), R"({"services": null})"),
            "base: /services: is missing\n");
  EXPECT_EQ(findings_of(LogOffset(3), R"({"services": null})"),
            "base: version 0 by jana is in force\n");
}

TEST_F(LogReplayTest, RefusesAPatchWithoutAVersion) {
  Append(R"({"type": "config_change", "change_id": "c0", "author": "jana",
             "time_ms": 1, "scope": "base", "patch": {}})");
  EXPECT_EQ(m_replay.State().m_audit.back().m_reason,
            "record: /from: is missing, but a patch needs it");
  Append(R"({"type": "config_change", "change_id": "c1", "author": "jana",
             "time_ms": 1, "scope": "base", "from": 0, "patch": {},
             "content": {}})");
  EXPECT_EQ(m_replay.State().m_audit.back().m_reason,
            "record: /content: is an unknown key");
  EXPECT_EQ(m_replay.State().FindVersion(kBase), std::nullopt);
}

TEST_F(LogReplayTest, RefusesAPatchThatMakesAScopeTooLargeForARecord) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const std::string note(JsonDocument::kMaxTextBytes - 4096, 'x');
  const AuditEntry& entry = Append(ToRecordText(
      ConfigChange{.m_header = MakeHeader("c1"),
                   .m_scope = kBase,
                   .m_from = LogOffset(0),
                   .m_content = MakeDocument(R"({"note": ")" + note + "\"}"),
                   .m_form = ChangeForm::kPatch}));
  EXPECT_EQ(entry.m_verdict, AuditVerdict::kInvalid);
  EXPECT_EQ(entry.m_reason, "base: is larger than a record can carry");
}

TEST_F(LogReplayTest, RestoresASnapshotWhenRecordsHaveExpired) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const std::string early = m_replay.MakeSnapshot(MakeHeader("s1"));
  Append(ChangeText("c1", kBase, LogOffset(0), BaseWithFloor(9)));
  const std::string late = m_replay.MakeSnapshot(MakeHeader("s2"));
  Append(early);
  Append(ChangeText("c2", kBase, LogOffset(1), BaseWithFloor(10)));
  m_log.m_first = 2;
  LogReplay fresh;
  CatchUp(m_log, fresh);
  EXPECT_FALSE(fresh.IsComplete());
  EXPECT_EQ(fresh.InForce(), nullptr);
  Append(late);
  CatchUp(m_log, fresh);
  EXPECT_TRUE(fresh.IsComplete());
  EXPECT_EQ(fresh.State(), m_replay.State());
  EXPECT_EQ(fresh.FindFloor(MakeServiceId("s")), 10U);
}

TEST_F(LogReplayTest, MergesOnlyANewerStateFromAPeer) {
  Append(ChangeText("c0", kBase, std::nullopt, BaseWithFloor(8)));
  const ReplayState older = m_replay.State();
  Append(ChangeText("c1", kBase, LogOffset(0), BaseWithFloor(9)));
  EXPECT_FALSE(m_replay.Merge(older));
  EXPECT_EQ(m_replay.FindFloor(MakeServiceId("s")), 9U);
  LogReplay fresh;
  EXPECT_TRUE(fresh.Merge(older));
  EXPECT_TRUE(fresh.Merge(m_replay.State()));
  EXPECT_FALSE(fresh.Merge(older));
  EXPECT_EQ(fresh.State(), m_replay.State());
  EXPECT_EQ(fresh.FindFloor(MakeServiceId("s")), 9U);
}

TEST_F(LogReplayTest, KeepsABoundedAudit) {
  for (size_t i = 0; i < kMaxAuditEntries + 10; ++i) {
    Append("no JSON");
  }
  EXPECT_EQ(m_replay.State().m_audit.size(), kMaxAuditEntries);
}

// Damaged records are evaluated, and the state is unchanged by a round trip
// through its text form.
RC_GTEST_PROP(LogReplayPropertyTest, AnyRecordIsEvaluated, ()) {
  const InstanceRun run{.m_instance = InstanceId({.m_ip = 1, .m_port = 80}),
                        .m_incarnation = Incarnation(1)};
  const std::string records[] = {
      ChangeText("c0", kBase, std::nullopt, BaseWithFloor(1)),
      ChangeText("c1", "a", std::nullopt, OverlayWithFloor(2)),
      ToRecordText(ConfigChange{.m_header = MakeHeader("c2"),
                                .m_scope = kBase,
                                .m_from = LogOffset(0),
                                .m_content = OverlayWithFloor(3),
                                .m_form = ChangeForm::kPatch}),
      ToRecordText(EjectionGrant{.m_header = MakeHeader("g"),
                                 .m_service = "s",
                                 .m_from = std::nullopt,
                                 .m_target = run,
                                 .m_remaining = {}}),
      ToRecordText(Readmission{.m_header = MakeHeader("r"),
                               .m_service = "s",
                               .m_target = run,
                               .m_grant = LogOffset(2)})};
  FakeLog log;
  LogReplay replay;
  log.Append(records[0]);
  const auto count = *rc::gen::inRange<int>(0, 20);
  for (int i = 0; i < count; ++i) {
    std::string text =
        records[*rc::gen::inRange<size_t>(0, std::size(records))];
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    log.Append(text);
  }
  CatchUp(log, replay);
  RC_ASSERT(replay.NextOffset().Get() == log.End());
  Findings findings;
  const auto document = JsonDocument::Parse(
      "state", ToDocument(replay.State()).ToText(), findings);
  RC_ASSERT(document.has_value());
  const auto state = ParseReplayState(*document, findings);
  RC_ASSERT(state.has_value());
  RC_ASSERT(*state == replay.State());
}

TEST(SnapshotScheduleTest, IsDueByRecordsByAgeAndWhenTheLastOneIsUnusable) {
  const TimePoint start{};
  const Duration hour = std::chrono::hours(1);
  SnapshotSchedule schedule({.m_max_records = 10, .m_max_age = hour}, start);
  const LogOffset zero(0);
  EXPECT_FALSE(schedule.IsDue(zero, zero, start + 2 * hour));
  EXPECT_FALSE(schedule.IsDue(zero, LogOffset(9), start));
  EXPECT_TRUE(schedule.IsDue(zero, LogOffset(10), start));
  EXPECT_TRUE(schedule.IsDue(zero, LogOffset(1), start + hour));
  schedule.OnSnapshot(LogOffset(10), start + hour);
  EXPECT_FALSE(schedule.IsDue(zero, LogOffset(11), start + hour));
  EXPECT_TRUE(schedule.IsDue(LogOffset(11), LogOffset(12), start + hour));
  EXPECT_TRUE(schedule.IsDue(zero, LogOffset(11), start + 2 * hour));
}

}  // namespace
}  // namespace sequoiastage
