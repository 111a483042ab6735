#include "radishrudder/document/compare.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

namespace radishrudder::document {
namespace {

ServiceDocument Document() {
  ServiceDocument document;
  document.service = "draft-llm";
  document.model = {"drafter", "1", "sha256:old", {"sha256:a", "sha256:b"}};
  document.workspaces = {{"shop-1", 3}, {"shop-2", 1}};
  document.calls.routes = {{"POST", "/orders", false}, {"GET", "/", true}};
  return document;
}

struct ChangeCase {
  const char* name;
  std::function<void(ServiceDocument&)> change;
  std::vector<std::string> expected;
};

void PrintTo(const ChangeCase& test, std::ostream* stream) {
  *stream << test.name;
}

class DescribeChangesTest : public testing::TestWithParam<ChangeCase> {};

TEST_P(DescribeChangesTest, SaysWhatWillHappen) {
  const ServiceDocument before = Document();
  ServiceDocument after = before;
  GetParam().change(after);
  EXPECT_EQ(DescribeChanges(before, after), GetParam().expected);
  EXPECT_EQ(EqualMeaning(before, after), GetParam().expected.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    DescribeChangesTest,
    testing::Values(
        ChangeCase{"Nothing", [](ServiceDocument&) {}, {}},
        ChangeCase{"OrderWithoutMeaning",
                   [](ServiceDocument& after) {
                     std::swap(after.workspaces[0], after.workspaces[1]);
                     std::swap(after.model->adapters[0],
                               after.model->adapters[1]);
                   },
                   {}},
        ChangeCase{"OrderOfRoutes",
                   [](ServiceDocument& after) {
                     std::swap(after.calls.routes[0], after.calls.routes[1]);
                   },
                   {"Only the order of routes changes."}},
        ChangeCase{"OtherWeights",
                   [](ServiceDocument& after) {
                     after.model->version = "2";
                     after.model->manifest_digest = "sha256:new";
                     after.rollout.pace = 4;
                   },
                   {"Every instance loads other weights: version 1 "
                    "(sha256:old) is replaced by 2 (sha256:new); at least 75% "
                    "of the instances stay ready, and at most 4 change at a "
                    "time.",
                    "From now on, when weights change, at least 75% of the "
                    "instances stay ready, and at most 4 change at a time."}},
        ChangeCase{"SameLabelOtherWeights",
                   [](ServiceDocument& after) {
                     after.model->manifest_digest = "sha256:new";
                   },
                   {"Every instance loads other weights: version 1 "
                    "(sha256:old) is replaced by 1 (sha256:new); at least 75% "
                    "of the instances stay ready.",
                    "The version is still called 1 although the weights "
                    "differ."}},
        ChangeCase{"LabelOnly",
                   [](ServiceDocument& after) { after.model->version = "2"; },
                   {"The version's label changes from 1 to 2; the weights "
                    "stay the same and nothing is loaded."}},
        ChangeCase{"Adapters",
                   [](ServiceDocument& after) {
                     after.model->adapters = {"sha256:b", "sha256:c"};
                   },
                   {"Every instance loads adapter sha256:c.",
                    "Adapter sha256:a is no longer served."}},
        ChangeCase{"Workspaces",
                   [](ServiceDocument& after) {
                     after.workspaces = {{"shop-1", 1}, {"shop-3", 2}};
                   },
                   {"The share of workspace shop-1 changes from 3 to 1, 33.3% "
                    "of the capacity when all are busy.",
                    "Workspace shop-3 is added with share 2, 66.7% of the "
                    "capacity when all are busy.",
                    "Workspace shop-2 loses its own share and is treated as "
                    "any workspace that is not listed."}},
        ChangeCase{"Calls",
                   [](ServiceDocument& after) {
                     after.calls.timeout = std::chrono::seconds(5);
                     after.calls.routing_policy = "prefix-affinity";
                     after.calls.routes[1].idempotent = false;
                   },
                   {"The routing policy changes from least-loaded-of-two to "
                    "prefix-affinity for new calls.",
                    "The timeout of a call changes from 60000 to 5000 "
                    "milliseconds, for new calls.",
                    "Calls of GET / run at most once from now on."}},
        ChangeCase{"OtherService",
                   [](ServiceDocument& after) { after.service = "other"; },
                   {"The documents are of two services, draft-llm and other: "
                    "one does not replace the other."}},
        ChangeCase{"BecomesPlain",
                   [](ServiceDocument& after) {
                     after.kind = ServiceKind::kPlain;
                     after.model.reset();
                   },
                   {"The service becomes a plain service: no weights are "
                    "given to its endpoints any more."}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::document
