#include "../src/target_picker_p.h"

#include <gtest/gtest.h>

namespace sequoiastage {
namespace {

constexpr ServiceId kService{1};
constexpr NodeId kOwnNode{Endpoint{.m_ip = 1, .m_port = 1}};

NodeId NodeAt(uint32_t ip) {
  return NodeId(Endpoint{.m_ip = ip, .m_port = 1});
}

InstanceView At(uint32_t ip, uint64_t node_incarnation) {
  return {.m_id = InstanceId(Endpoint{.m_ip = ip, .m_port = 9}),
          .m_node = NodeAt(ip),
          .m_node_incarnation = Incarnation(node_incarnation),
          .m_locality = Locality::kOwnRegion};
}

NodeViewPtr BuildView(std::vector<InstanceView> instances) {
  auto view = std::make_shared<NodeView>();
  view->m_instances[kService] = std::move(instances);
  return view;
}

// Number of picks of `node` in 100 first attempts.
int CountPicks(TargetPicker& picker, NodeId node) {
  int picks = 0;
  for (int i = 0; i < 100; ++i) {
    const Target target = picker.Pick(kService, {}, TimePoint());
    picks += target.m_instance->m_node == node ? 1 : 0;
  }
  return picks;
}

TEST(TargetPickerTest, InstancesOfAReplacedIncarnationComeLast) {
  TargetPicker picker(kOwnNode, 1);
  picker.SetView(BuildView({At(2, 7), At(3, 7)}));
  ASSERT_GT(CountPicks(picker, NodeAt(2)), 0);
  picker.OnNodeReplaced(NodeAt(2), Incarnation(7));
  EXPECT_EQ(CountPicks(picker, NodeAt(2)), 0);
  picker.SetView(BuildView({At(2, 8), At(3, 7)}));
  EXPECT_GT(CountPicks(picker, NodeAt(2)), 0);
}

TEST(TargetPickerTest, ReplacedIncarnationIsUsedAsLastResort) {
  TargetPicker picker(kOwnNode, 1);
  picker.SetView(BuildView({At(2, 7)}));
  picker.OnNodeReplaced(NodeAt(2), Incarnation(7));
  EXPECT_EQ(CountPicks(picker, NodeAt(2)), 100);
}

}  // namespace
}  // namespace sequoiastage
