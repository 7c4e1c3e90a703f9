#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "replay_harness.h"

namespace sequoiastage {
namespace {

constexpr size_t kMaxReasonBytes = 500;

int Draw(int end) {
  return *rc::gen::inRange(0, end);
}

bool IsOneIn(int count) {
  return Draw(count) == 0;
}

std::string Pick(const std::vector<std::string>& texts) {
  return texts[static_cast<size_t>(Draw(static_cast<int>(texts.size())))];
}

// Returns `members` as the text of a JSON object.
std::string ObjectText(const std::map<std::string, std::string>& members) {
  std::string text = "{";
  for (const auto& [key, value] : members) {
    text.append(text.size() > 1 ? ",\"" : "\"").append(key);
    text.append("\":").append(value);
  }
  return text + "}";
}

// Invalid members are rare, so that most changes are accepted.
std::string GenerateServiceText() {
  std::map<std::string, std::string> members = {
      {"instances", std::to_string(6 + Draw(3))},
      {"floor", std::to_string(1 + Draw(IsOneIn(10) ? 9 : 6))}};
  if (IsOneIn(3)) {
    members["limits"] = Pick({R"({"slots": 2})", R"({"slots": 3})", "{}"});
  }
  if (IsOneIn(30)) {
    members["unknown"] = "1";
  }
  return ObjectText(members);
}

std::string GenerateRouteText() {
  std::map<std::string, std::string> members = {
      {"host", Pick({R"("h")", R"("*")"})},
      {"path", Pick({R"("/")", R"("/a")", R"("/a/")", R"("/b")", R"("/c")",
                     R"("/d")", R"("/e")"})},
      {"service", Pick({R"("s0")", R"("s1")"})}};
  if (IsOneIn(4)) {
    members["service"] = R"("s2")";
  }
  if (IsOneIn(3)) {
    members["methods"] = Pick({R"(["GET"])", R"(["GET", "POST"])"});
  }
  return ObjectText(members);
}

std::string GenerateAccountText() {
  return Pick({"{}", R"({"share": 2})", R"({"share": 2.0})"});
}

// Returns some members of a section; in a patch they can be partial or null.
std::string GenerateSectionText(const std::string& prefix,
                                int count,
                                std::string (*member)(),
                                bool is_patch) {
  std::map<std::string, std::string> members;
  for (int i = 0; i < count; ++i) {
    if (is_patch && !IsOneIn(3)) {
      continue;
    }
    const std::string name = prefix + std::to_string(i);
    members[name] = member();
    if (is_patch && IsOneIn(4)) {
      members[name] = Pick({"null", "{}", R"({"limits": null})",
                            R"({"floor": 2})", R"({"host": "x"})", "7"});
    }
  }
  if (IsOneIn(40)) {
    members["Bad name"] = member();
  }
  return ObjectText(members);
}

std::string GenerateContentText(bool is_patch) {
  std::map<std::string, std::string> sections;
  if (!is_patch || IsOneIn(2)) {
    sections["services"] =
        GenerateSectionText("s", 3, GenerateServiceText, is_patch);
  }
  if (!is_patch || IsOneIn(2)) {
    sections["routes"] =
        GenerateSectionText("r", 4, GenerateRouteText, is_patch);
  }
  if (IsOneIn(2)) {
    sections["accounts"] =
        GenerateSectionText("a", 3, GenerateAccountText, is_patch);
  }
  if (!is_patch) {
    sections["sites"] = R"(["a", "b"])";
  } else if (IsOneIn(15)) {
    sections[Pick({"accounts", "services", "other", "sites"})] =
        Pick({"null", "1", R"(["a"])", R"(["a", "b", "c"])"});
  }
  return ObjectText(sections);
}

JsonDocument ParseDocument(const std::string& source, const std::string& text) {
  Findings findings;
  return JsonDocument::Parse(source, text, findings).value();
}

// Validates all documents without a replay, as the expected result.
struct Reference {
  std::map<std::string, JsonDocument> m_documents{};
  std::optional<FleetConfig> m_fleet{};
  std::string m_reason{};

  void Put(const std::string& scope, const JsonDocument& content) {
    auto overlays = m_documents;
    overlays[scope] = content;
    const JsonDocument base = overlays[std::string(kBaseScope)];
    overlays.erase(std::string(kBaseScope));
    std::erase_if(overlays,
                  [](const auto& item) { return item.second.IsEmptyObject(); });
    Findings findings;
    auto fleet = CheckFleetConfig(base, overlays, findings);
    m_reason = findings.ToText();
    m_reason = m_reason.substr(0, m_reason.find_last_not_of('\n') + 1);
    std::replace(m_reason.begin(), m_reason.end(), '\n', ';');
    m_reason = m_reason.substr(0, kMaxReasonBytes);
    if (fleet) {
      m_fleet = std::move(fleet);
      m_documents[scope] = content;
    }
  }
};

// Compares a replay that reads patches with one that reads the resulting full
// documents.
class Comparison {
 public:
  void Change(const std::string& scope, JsonDocument content, bool is_patch) {
    const std::string change_id = "c" + std::to_string(m_log.End());
    ConfigChange change{.m_header = MakeHeader(change_id),
                        .m_scope = scope,
                        .m_from = m_patched.State().FindVersion(scope),
                        .m_content = std::move(content)};
    const JsonDocument before = m_reference.m_documents[scope];
    is_patch = is_patch && change.m_from;
    change.m_form = is_patch ? ChangeForm::kPatch : ChangeForm::kFull;
    m_log.Append(ToRecordText(change));
    if (is_patch) {
      change.m_content = before.MergedWith(change.m_content);
      change.m_form = ChangeForm::kFull;
    }
    m_whole_log.Append(ToRecordText(change));
    m_reference.Put(scope, change.m_content);
    CatchUp(m_log, m_patched);
    CatchUp(m_whole_log, m_whole);
  }

  bool IsSite(const std::string& scope) const {
    return m_reference.m_fleet &&
           m_reference.m_fleet->FindSite(scope) != nullptr;
  }

  const Config& SiteInForce(const std::string& site) const {
    return *m_patched.InForce()->FindSite(site);
  }

  void Check() const {
    const AuditEntry& entry = m_patched.State().m_audit.back();
    RC_ASSERT(entry.m_reason == m_reference.m_reason);
    RC_ASSERT((entry.m_verdict == AuditVerdict::kAccepted) ==
              m_reference.m_reason.empty());
    RC_ASSERT(m_patched.State() == m_whole.State());
    RC_ASSERT((m_patched.InForce() != nullptr) ==
              m_reference.m_fleet.has_value());
    if (m_reference.m_fleet) {
      RC_ASSERT(*m_patched.InForce() == *m_reference.m_fleet);
      RC_ASSERT(*m_whole.InForce() == *m_reference.m_fleet);
    }
  }

 private:
  FakeLog m_log;
  FakeLog m_whole_log;
  LogReplay m_patched;
  LogReplay m_whole;
  Reference m_reference;
};

TEST(ConfigUpdateTest, APatchRestoresASectionThatAnOverlayRemoved) {
  const std::string base(kBaseScope);
  Comparison comparison;
  comparison.Change(base,
                    ParseDocument(base, R"({"sites": ["a"], "services": {},
                    "routes": {}, "accounts": {"x": {}, "y": {}}})"),
                    false);
  comparison.Change("a", ParseDocument("a", R"({"accounts": null})"), false);
  EXPECT_TRUE(comparison.SiteInForce("a").m_accounts.empty());
  comparison.Change("a", ParseDocument("a", R"({"accounts": {}})"), true);
  EXPECT_EQ(comparison.SiteInForce("a").m_accounts.size(), 2U);
}

TEST(ConfigUpdateTest, SitesShareEqualLists) {
  const std::string base(kBaseScope);
  Comparison comparison;
  comparison.Change(base,
                    ParseDocument(base, R"({"sites": ["a", "b"], "routes": {},
                    "services": {"s": {"instances": 3, "floor": 1}},
                    "accounts": {"x": {}}})"),
                    false);
  comparison.Change("a", OverlayWithFloor(2), false);
  comparison.Change(base, ParseDocument(base, R"({"accounts": {"y": {}}})"),
                    true);
  const Config& a = comparison.SiteInForce("a");
  const Config& b = comparison.SiteInForce("b");
  EXPECT_EQ(a.m_accounts.size(), 2U);
  EXPECT_TRUE(a.m_accounts.IsSharedWith(b.m_accounts));
  EXPECT_TRUE(a.m_routes.IsSharedWith(b.m_routes));
  EXPECT_FALSE(a.m_services.IsSharedWith(b.m_services));
}

RC_GTEST_PROP(ConfigUpdateTest, APartialCheckMatchesTheFullCheck, ()) {
  const std::string base(kBaseScope);
  Comparison comparison;
  comparison.Change(base, ParseDocument(base, GenerateContentText(false)),
                    false);
  comparison.Check();
  const int changes = Draw(12);
  for (int i = 0; i < changes; ++i) {
    const std::string scope = Pick({base, "a", "b", "c"});
    if (scope != base && !comparison.IsSite(scope)) {
      continue;
    }
    const bool is_patch = scope == base || !IsOneIn(3);
    comparison.Change(scope, ParseDocument(scope, GenerateContentText(true)),
                      is_patch);
    comparison.Check();
  }
}

}  // namespace
}  // namespace sequoiastage
