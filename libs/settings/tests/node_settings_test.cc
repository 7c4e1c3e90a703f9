#include "sequoiastage/settings/node_settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace sequoiastage {
namespace {

constexpr char kValidSettings[] = R"({
  "listen": {"ip": "127.0.1.1", "port": 8080},
  "peer": {"ip": "127.0.1.1", "port": 8081},
  "admin": {"ip": "127.0.1.1", "port": 8082},
  "announce": {"ip": "127.0.1.1", "port": 8083},
  "region": "south", "failure_domain": "south-a", "site": "znojmo",
  "log": {"ip": "127.0.0.2", "port": 9000}
})";

// kValidSettings with `text` in place of the first `old_text`.
std::string ReplaceInValid(const std::string& old_text,
                           const std::string& text) {
  std::string settings = kValidSettings;
  const size_t position = settings.find(old_text);
  EXPECT_NE(position, std::string::npos) << old_text;
  return settings.replace(position, old_text.size(), text);
}

std::string ParseForFindings(const std::string& text) {
  Findings findings;
  EXPECT_FALSE(ParseNodeSettings(text, "settings.json", &findings));
  return findings.ToText();
}

std::vector<std::string> ParseForPointers(const std::string& text) {
  Findings findings;
  EXPECT_FALSE(ParseNodeSettings(text, "settings.json", &findings));
  std::vector<std::string> pointers;
  for (const Finding& finding : findings.Items()) {
    pointers.push_back(finding.m_pointer);
  }
  std::sort(pointers.begin(), pointers.end());
  return pointers;
}

TEST(NodeSettingsTest, ReadsAllMembers) {
  Findings findings;
  const auto settings = ParseNodeSettings(
      ReplaceInValid("\"region\"",
                     R"("seeds": [{"ip": "127.0.2.1", "port": 8081}],
        "allowed_instances": [{"ip": "127.0.1.1", "port": 7001}],
        "admin_token": "0123456789abcdef",
        "max_header": "16KiB", "max_body": "1MiB", "max_in_flight": 10,
        "default_deadline": "2s", "drain_timeout": "500ms", "region")"),
      "settings.json", &findings);
  ASSERT_TRUE(settings) << findings.ToText();
  EXPECT_EQ(ToString(settings->m_listen), "127.0.1.1:8080");
  EXPECT_EQ(ToString(settings->m_peer), "127.0.1.1:8081");
  EXPECT_EQ(ToString(settings->m_admin), "127.0.1.1:8082");
  EXPECT_EQ(ToString(settings->m_announce), "127.0.1.1:8083");
  EXPECT_EQ(ToString(settings->m_log), "127.0.0.2:9000");
  EXPECT_EQ(settings->m_admin_token, "0123456789abcdef");
  EXPECT_EQ(settings->m_region, "south");
  EXPECT_EQ(settings->m_failure_domain, "south-a");
  EXPECT_EQ(settings->m_site, "znojmo");
  ASSERT_EQ(settings->m_seeds.size(), 1u);
  EXPECT_EQ(ToString(settings->m_seeds[0]), "127.0.2.1:8081");
  ASSERT_EQ(settings->m_allowed_instances.size(), 1u);
  EXPECT_EQ(ToString(settings->m_allowed_instances[0]), "127.0.1.1:7001");
  EXPECT_EQ(settings->m_max_header_bytes, 16u * 1024);
  EXPECT_EQ(settings->m_max_body_bytes, 1024u * 1024);
  EXPECT_EQ(settings->m_max_in_flight, 10u);
  EXPECT_EQ(settings->m_default_deadline, std::chrono::seconds(2));
  EXPECT_EQ(settings->m_drain_timeout, std::chrono::milliseconds(500));
}

TEST(NodeSettingsTest, OptionalMembersKeepDefaults) {
  Findings findings;
  const auto settings =
      ParseNodeSettings(kValidSettings, "settings.json", &findings);
  ASSERT_TRUE(settings) << findings.ToText();
  const NodeSettings defaults;
  EXPECT_TRUE(settings->m_seeds.empty());
  EXPECT_EQ(PeerBindEndpoint(*settings), settings->m_peer);
  EXPECT_EQ(settings->m_max_body_bytes, defaults.m_max_body_bytes);
  EXPECT_EQ(settings->m_default_deadline, defaults.m_default_deadline);
}

TEST(NodeSettingsTest, PeerBindOverridesPeer) {
  Findings findings;
  const auto settings = ParseNodeSettings(
      ReplaceInValid(
          "\"region\"",
          R"("peer_bind": {"ip": "127.0.3.1", "port": 8}, "region")"),
      "settings.json", &findings);
  ASSERT_TRUE(settings) << findings.ToText();
  EXPECT_EQ(ToString(PeerBindEndpoint(*settings)), "127.0.3.1:8");
}

TEST(NodeSettingsTest, ReportsAllFaultsWithPointers) {
  const std::vector<std::string> expected = {
      "/admin/ip", "/announce", "/listen/port", "/log", "/max_body", "/peers"};
  EXPECT_EQ(ParseForPointers(R"({
    "listen": {"ip": "127.0.1.1", "port": 70000},
    "peer": {"ip": "127.0.1.1", "port": 8081}, "peers": [],
    "admin": {"ip": "127.0.1", "port": 8082},
    "announce": {"ip": "10.0.0.1", "port": 8083},
    "region": "south", "failure_domain": "south-a", "site": "znojmo",
    "max_body": 4096})"),
            expected);
}

TEST(NodeSettingsTest, FindingHasFileAndPointer) {
  EXPECT_EQ(ParseForFindings(ReplaceInValid("8080", "0"))
                .find("settings.json: /listen/port: "),
            0u);
}

TEST(NodeSettingsTest, InvalidJsonIsReported) {
  EXPECT_NE(ParseForFindings("{"), "");
  EXPECT_NE(ParseForFindings(""), "");
  EXPECT_NE(ParseForFindings("[]"), "");
}

TEST(NodeSettingsTest, AdminOffLoopbackNeedsAToken) {
  const std::string open = ReplaceInValid("\"admin\": {\"ip\": \"127.0.1.1\"",
                                          "\"admin\": {\"ip\": \"10.1.2.3\"");
  EXPECT_EQ(ParseForPointers(open), std::vector<std::string>{"/admin_token"});
  std::string with_token = open;
  with_token.replace(with_token.find("\"region\""), 8,
                     "\"admin_token\": \"0123456789abcdef\", \"region\"");
  Findings findings;
  EXPECT_TRUE(ParseNodeSettings(with_token, "settings.json", &findings));
}

TEST(NodeSettingsTest, WeakTokenIsRefusedAndNeverPrinted) {
  const std::string findings = ParseForFindings(ReplaceInValid(
      "\"region\"", "\"admin_token\": \"hush hush\", \"region\""));
  EXPECT_NE(findings.find("/admin_token"), std::string::npos);
  EXPECT_EQ(findings.find("hush"), std::string::npos);
}

TEST(NodeSettingsTest, DuplicateEndpointsAreReported) {
  EXPECT_EQ(ParseForPointers(ReplaceInValid("8082", "8080")),
            std::vector<std::string>{"/admin"});
}

TEST(NodeSettingsTest, InvalidSeedIsReportedByIndex) {
  EXPECT_EQ(ParseForPointers(
                ReplaceInValid("\"region\"",
                               R"("seeds": [{"ip": "127.0.2.1", "port": 1},
                             {"ip": "x", "port": 1}, 7], "region")")),
            (std::vector<std::string>{"/seeds/1/ip", "/seeds/2"}));
}

TEST(NodeSettingsTest, UnreadableFileIsReported) {
  Findings findings;
  EXPECT_FALSE(LoadNodeSettings("no-such-file.json", &findings));
  EXPECT_EQ(findings.ToText().find("no-such-file.json: "), 0u);
}

TEST(NodeSettingsTest, LoadsAFile) {
  const std::string path = testing::TempDir() + "node_settings_test.json";
  std::ofstream(path) << kValidSettings;
  Findings findings;
  EXPECT_TRUE(LoadNodeSettings(path, &findings)) << findings.ToText();
  std::remove(path.c_str());
}

RC_GTEST_PROP(NodeSettingsTest, MutatedTextNeverCrashesTheParser, ()) {
  std::string text = kValidSettings;
  const int edits = *rc::gen::inRange(1, 8);
  for (int i = 0; i < edits; ++i) {
    text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  }
  Findings findings;
  const auto settings = ParseNodeSettings(text, "settings.json", &findings);
  RC_ASSERT(settings.has_value() == findings.IsEmpty());
}

}  // namespace
}  // namespace sequoiastage
