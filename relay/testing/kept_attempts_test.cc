// Tests the rules about attempts that are kept beside others: which one carries
// on, and when a request must wait instead of being given up. No sockets are
// opened.

#include "relay/kept_attempts.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

namespace quaytrack {
namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;

// An attempt of a stream whose first two events were forwarded.
AttemptState Streaming(int number) {
  AttemptState out;
  out.number = number;
  out.answer.status = kOk;
  out.facts.sealed = true;
  out.reader.Take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  return out;
}

KeptBytes Stream(AttemptState& attempt, const std::string& bytes) {
  return StepAfterBytes(RouteKind::kStreaming, attempt, bytes);
}

// Guards against a kept attempt that takes the stream over with part of an
// event, so that another that has a whole one is stopped for it.
BOOST_AUTO_TEST_CASE(OnlyAWholeEventLetsAKeptAttemptGoOn) {
  AttemptState it = Streaming(1);
  BOOST_TEST((Stream(it, "id: 3\nda").step == KeptStep::kStay));
  const KeptBytes rest = Stream(it, "ta: c\n\n");
  BOOST_TEST((rest.step == KeptStep::kGoOn));
  BOOST_TEST(rest.events.bytes == "id: 3\ndata: c\n\n");
}

// Guards against events that reach a caller twice: an earlier attempt repeats
// what was forwarded.
BOOST_AUTO_TEST_CASE(RepeatedEventsLetNoKeptAttemptGoOn) {
  AttemptState it = Streaming(1);
  BOOST_TEST((Stream(it, "id: 2\ndata: b\n\n").step == KeptStep::kStay));
}

// Guards against a gap in the stream.
BOOST_AUTO_TEST_CASE(AKeptAttemptThatSkipsAnEventEnds) {
  AttemptState it = Streaming(1);
  BOOST_TEST((Stream(it, "id: 4\ndata: d\n\n").step == KeptStep::kEnd));
}

// Guards against a call whose other attempt is stopped for the start of an
// answer.
BOOST_AUTO_TEST_CASE(PartOfAPlainAnswerLetsNoKeptAttemptGoOn) {
  AttemptState it;
  it.answer.status = kOk;
  it.facts.sealed = true;
  const KeptBytes part =
      StepAfterBytes(RouteKind::kIdempotent, it, "done of a ca");
  BOOST_TEST((part.step == KeptStep::kStay));
  BOOST_TEST(it.body == "done of a ca");
}

// Guards against a request that is answered with an error of a kept attempt
// while another may still serve it.
BOOST_AUTO_TEST_CASE(OnlyAnAnswerWithoutAnErrorLetsAKeptAttemptGoOn) {
  AttemptResult result;
  result.answered = true;
  BOOST_TEST((StepAfterKeptEnd(result, kOk) == KeptStep::kGoOn));
  BOOST_TEST((StepAfterKeptEnd(result, kServerError) == KeptStep::kEnd));
  result.answered = false;
  BOOST_TEST((StepAfterKeptEnd(result, kOk) == KeptStep::kEnd));
}

// Guards against two targets that work on one stream, against a stream that is
// taken from its target for one that may be silent as well, and against a
// request that is left without the target that is about to take it.
BOOST_AUTO_TEST_CASE(TheNextTargetMustBeAtWorkBeforeTheSilentOneIsStopped) {
  OverlapFacts facts;
  facts.has_begun = true;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kStopCurrent));
  facts.is_target_alive = true;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kStopSilent));
  facts.is_target_alive = false;
  facts.is_answering = true;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kStopSilent));
  facts.has_begun = false;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kStopSilent));
  facts.is_answering = false;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kNone));
  facts.is_target_alive = true;
  BOOST_TEST((StepAfterOverlap(facts) == OverlapStep::kNone));
}

// Guards against an attempt over links that are lost being stopped like one
// whose target is silent: its target can't be told.
BOOST_AUTO_TEST_CASE(OnlyAttemptsWithASilentTargetCountAsSilent) {
  KeptAttempts kept;
  AttemptState first;
  first.number = 1;
  AttemptState second;
  second.number = 2;
  kept.Add(std::move(first), AttemptFault::kPathChanged, {});
  BOOST_TEST(kept.SilentNumbers().empty());
  kept.Add(std::move(second), AttemptFault::kTimeout, {});
  BOOST_TEST((kept.SilentNumbers() == std::vector<int>{2}));
}

// Guards against a silent attempt that is stopped, or a stream that is cut,
// where no other target may be asked.
BOOST_AUTO_TEST_CASE(ASilentAttemptIsWaitedForUnlessARetryIsFree) {
  SilenceFacts facts;
  for (const bool has_begun : {false, true}) {
    facts = {.has_begun = has_begun};
    BOOST_TEST((StepAfterSilence(facts) == SilenceStep::kWait));
    facts = {has_begun, true, true};
    BOOST_TEST((StepAfterSilence(facts) == SilenceStep::kSendBeside));
  }
}

// Guards against a target that has ended without a sign and is never left, as
// no retry was free when it fell silent.
BOOST_AUTO_TEST_CASE(ASilentStreamIsLookedAtAgainWhileNoRetryIsFree) {
  BOOST_TEST(
      (StepAfterSilence({true, true, false}) == SilenceStep::kCheckLater));
}

// Guards against a request that is given up while an attempt may still finish.
BOOST_AUTO_TEST_CASE(NothingIsGivenUpWhileAnAttemptIsKept) {
  BOOST_TEST((StepAfterEnd(true, true) == EndStep::kRetry));
  BOOST_TEST((StepAfterEnd(true, false) == EndStep::kRetry));
  BOOST_TEST((StepAfterEnd(false, true) == EndStep::kAwaitKept));
  BOOST_TEST((StepAfterEnd(false, false) == EndStep::kGiveUp));
}

// Guards against reports of one attempt that are taken for those of another.
BOOST_AUTO_TEST_CASE(AttemptsAreKeptByTheirNumbers) {
  KeptAttempts kept;
  BOOST_TEST(kept.empty());
  EventReader reader;
  reader.Take("id: 1\ndata: a\n\nid: 2");
  kept.Add(Streaming(1), AttemptFault::kTimeout, reader);
  kept.Add(Streaming(2), AttemptFault::kPathChanged, reader);
  BOOST_TEST(kept.Find(3) == nullptr);
  BOOST_TEST(kept.latest().number == 2);
  const AttemptState first = kept.Take(1);
  BOOST_TEST((first.kept_for == AttemptFault::kTimeout));
  // It goes on within the event that had begun.
  BOOST_TEST(first.reader.InEvent());
  BOOST_TEST(kept.Find(1) == nullptr);
  BOOST_TEST(kept.Find(2) != nullptr);
  kept.Take(2);
  BOOST_TEST(kept.empty());
}

}  // namespace
}  // namespace quaytrack
