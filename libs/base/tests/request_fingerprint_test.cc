#include "sequoiastage/base/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>

namespace sequoiastage {
namespace {

HttpRequest MakeRequest() {
  return {.m_method = "POST",
          .m_host = "a.example",
          .m_target = "/x/1?y",
          .m_fields = {{"id", "1"}},
          .m_body = "body"};
}

TEST(RequestFingerprintTest, IgnoresFields) {
  HttpRequest other = MakeRequest();
  other.m_fields = {{"id", "2"}, {"left", "100"}};
  EXPECT_EQ(FingerprintOf(MakeRequest(), "homes"),
            FingerprintOf(other, "homes"));
}

TEST(RequestFingerprintTest, DependsOnEachPart) {
  std::set<RequestFingerprint> all = {FingerprintOf(MakeRequest(), "homes"),
                                      FingerprintOf(MakeRequest(), "plans")};
  for (std::string HttpRequest::*part :
       {&HttpRequest::m_method, &HttpRequest::m_host, &HttpRequest::m_target,
        &HttpRequest::m_body}) {
    HttpRequest other = MakeRequest();
    other.*part += "x";
    all.insert(FingerprintOf(other, "homes"));
  }
  HttpRequest shifted = MakeRequest();
  shifted.m_target = "/x/1?yb";
  shifted.m_body = "ody";
  all.insert(FingerprintOf(shifted, "homes"));
  EXPECT_EQ(all.size(), 7U);
}

TEST(RequestFingerprintTest, TextHasSixteenDigits) {
  EXPECT_EQ(ToString(RequestFingerprint(0xab)), "00000000000000ab");
}

}  // namespace
}  // namespace sequoiastage
