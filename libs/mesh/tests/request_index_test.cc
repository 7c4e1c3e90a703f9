#include "sequoiastage/mesh/request_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace sequoiastage {
namespace {

using Index = RequestIndex<int, std::string>;
using Attempts = Index::Attempts;

// Guards against a call that is assigned to its own id, to an id that is only a
// prefix of a longer word, or to none.
TEST(RequestIndexTest, CallExtendsTheIdByADot) {
  Index index;
  index.Add("a", 1, "x");
  EXPECT_EQ(index.FindCaller("a.1"), (Attempts{{1, "x"}}));
  EXPECT_EQ(index.FindCaller("a."), (Attempts{{1, "x"}}));
  EXPECT_TRUE(index.FindCaller("a").empty());
  EXPECT_TRUE(index.FindCaller("ab.1").empty());
  EXPECT_TRUE(index.FindCaller("b.1").empty());
  EXPECT_TRUE(index.FindCaller("").empty());
  EXPECT_TRUE(index.FindCaller(".a.1").empty());
}

// Guards against an attempt that hides another one of the same request.
TEST(RequestIndexTest, AttemptsOfOneRequestAreFoundTogether) {
  Index index;
  index.Add("a", 2, "y");
  index.Add("a", 1, "x");
  EXPECT_EQ(index.FindCaller("a.1"), (Attempts{{1, "x"}, {2, "y"}}));
  index.Remove("a", 1);
  EXPECT_EQ(index.FindCaller("a.1"), (Attempts{{2, "y"}}));
}

// Guards against a call of a nested request that is assigned to the request
// above it.
TEST(RequestIndexTest, NestedCallBelongsToTheLongestId) {
  Index index;
  index.Add("a", 1, "outer");
  index.Add("a.b", 2, "inner");
  EXPECT_EQ(index.FindCaller("a.b.c"), (Attempts{{2, "inner"}}));
  EXPECT_EQ(index.FindCaller("a.b"), (Attempts{{1, "outer"}}));
  EXPECT_EQ(index.FindCaller("a.c.b"), (Attempts{{1, "outer"}}));
  index.Remove("a.b", 2);
  EXPECT_EQ(index.FindCaller("a.b.c"), (Attempts{{1, "outer"}}));
}

// Guards against a lookup that takes a dot of the request's own id for the one
// that separates the suffix.
TEST(RequestIndexTest, IdsMayContainDots) {
  Index index;
  index.Add("a.b..c", 1, "x");
  index.Add(".", 2, "y");
  EXPECT_EQ(index.FindCaller("a.b..c.d.e"), (Attempts{{1, "x"}}));
  EXPECT_TRUE(index.FindCaller("a.b..d").empty());
  EXPECT_TRUE(index.FindCaller("a.b.").empty());
  EXPECT_EQ(index.FindCaller(".."), (Attempts{{2, "y"}}));
}

// Guards against requests without an id that become callers of any id that
// begins with a dot.
TEST(RequestIndexTest, RequestWithoutIdHasNoCalls) {
  Index index;
  index.Add("", 1, "x");
  EXPECT_EQ(index.size(), 0U);
  EXPECT_TRUE(index.FindCaller(".1").empty());
  index.Remove("", 1);
  EXPECT_EQ(index.size(), 0U);
}

// Guards against entries that outlive their request.
TEST(RequestIndexTest, RemovesOnlyWhatIsNamed) {
  Index index;
  index.Add("a", 1, "x");
  index.Add("a", 1, "z");
  index.Add("b", 1, "y");
  EXPECT_EQ(index.size(), 2U);
  EXPECT_EQ(index.FindCaller("a.1"), (Attempts{{1, "z"}}));
  index.Remove("a", 2);
  index.Remove("c", 1);
  EXPECT_EQ(index.size(), 2U);
  index.Remove("a", 1);
  index.Remove("a", 1);
  EXPECT_EQ(index.size(), 1U);
  EXPECT_TRUE(index.FindCaller("a.1").empty());
  EXPECT_EQ(index.FindCaller("b.1"), (Attempts{{1, "y"}}));
}

// Scan over all requests.
class PlainScan {
 public:
  void Add(const std::string& id, int key, const std::string& value) {
    m_requests[{id, key}] = value;
  }

  void Remove(const std::string& id, int key) { m_requests.erase({id, key}); }

  Attempts FindCaller(const std::string& call_id) const {
    Attempts attempts;
    size_t longest = 0;
    for (const auto& [request, value] : m_requests) {
      const auto& [id, key] = request;
      if (id.empty() || id.size() < longest || !call_id.starts_with(id + ".")) {
        continue;
      }
      if (id.size() > longest) {
        attempts.clear();
        longest = id.size();
      }
      attempts[key] = value;
    }
    return attempts;
  }

  size_t size() const {
    return static_cast<size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const auto& r) { return !r.first.first.empty(); }));
  }

 private:
  std::map<std::pair<std::string, int>, std::string> m_requests;
};

struct Step {
  bool m_adds = false;
  std::string m_id;
  int m_key = 0;
  std::string m_call_id;
};

// Few letters, so that ids are often equal or begin with each other.
rc::Gen<std::string> GenId() {
  return rc::gen::resize(
      6, rc::gen::container<std::string>(rc::gen::element('a', 'b', '.')));
}

// Guards against any difference between the index and the scan that it
// replaces.
RC_GTEST_PROP(RequestIndexPropertyTest, FindsWhatAPlainScanFinds, ()) {
  Index index;
  PlainScan scan;
  const int count = *rc::gen::inRange(1, 60);
  std::string last_id;
  for (int i = 0; i < count; ++i) {
    const Step step{
        .m_adds = *rc::gen::weightedElement<bool>({{2, true}, {1, false}}),
        .m_id = *rc::gen::oneOf(GenId(), rc::gen::just(last_id)),
        .m_key = *rc::gen::inRange(0, 3),
        .m_call_id = *GenId()};
    last_id = step.m_id;
    if (step.m_adds) {
      const std::string value = std::to_string(i);
      index.Add(step.m_id, step.m_key, value);
      scan.Add(step.m_id, step.m_key, value);
    } else {
      index.Remove(step.m_id, step.m_key);
      scan.Remove(step.m_id, step.m_key);
    }
    for (const std::string& call_id :
         {step.m_call_id, step.m_id, step.m_id + "." + step.m_call_id}) {
      RC_ASSERT(index.FindCaller(call_id) == scan.FindCaller(call_id));
    }
    RC_ASSERT(index.size() == scan.size());
  }
}

}  // namespace
}  // namespace sequoiastage
