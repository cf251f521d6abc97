#include "mulberryramp/cell/cell_node.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// A cell of one voter.
struct SingleVoter {
  Instant Now{Millis{100000}};
  CellNode Node;
  std::vector<std::string> Events;

  SingleVoter()
      : Node{makeSingleVoterOptions(1), bootstrapGroup({{1, 1}}), Now} {}

  /// Steps the node until it answers the call, for 5 s at most.
  CellReply call(CellCall Call) {
    Node.call(1, std::move(Call), Now);
    for (int Step = 0; Step < 1000; ++Step) {
      Now += Millis{5};
      CellOutput Output = Node.step(Now, WallTime{Now.time_since_epoch()});
      if (Output.Write) {
        Node.onWriteSynced();
      }
      Events.insert(Events.end(), Output.Events.begin(), Output.Events.end());
      if (!Output.Replies.empty()) {
        return Output.Replies.front().Reply;
      }
    }
    return makeReply(CellVerdict::Unknown, "no answer");
  }
};

} // namespace

TEST_GROUP(CellCapRefusal){};

/// Guards against a gang that is accepted although it can never run, and
/// against a refusal that does not tell why.
TEST(CellCapRefusal, AGangLargerThanTheCapIsRefusedWithTheReason) {
  SingleVoter Cell;
  // Until the first election ends, calls are refused.
  CellConfiguration Configuration = makeTestConfiguration(1, 3);
  Configuration.RequiresKeys = true;
  Configuration.Organisations = {{"a", {"ka"}, 1, Resources{3500}}};
  for (int Try = 0; Try < 10; ++Try) {
    if (Cell.call(ConfigureCall{Configuration}).Verdict == CellVerdict::Done) {
      break;
    }
  }
  JobCall Submission{JobVerb::Submit, "host", "/q/j", {}, "ka"};
  StepSpec Gang;
  Gang.IsGang = true;
  Gang.Tasks = 4;
  Gang.Need.MilliCpus = 1000;
  Gang.Estimate = Millis{500};
  Submission.Spec.Steps = {Gang};
  const CellReply Refused = Cell.call(Submission);
  CHECK(CellVerdict::Refused == Refused.Verdict);
  STRCMP_CONTAINS("tasks=4 cpu=1000", Refused.Text.c_str());
  STRCMP_CONTAINS("cap_cpu=3500", Refused.Text.c_str());
  CHECK(CellVerdict::Gone ==
        Cell.call(JobCall{JobVerb::Read, "host", "/q/j", {}, "ka"}).Verdict);
  CHECK(std::any_of(
      Cell.Events.begin(), Cell.Events.end(), [](const std::string &Line) {
        return Line.find("event=submit-refused job=j") != std::string::npos;
      }));
  Submission.Spec.Steps.front().Tasks = 3;
  CHECK(CellVerdict::Done == Cell.call(Submission).Verdict);
}
