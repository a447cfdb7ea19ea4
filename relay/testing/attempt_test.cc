// Tests the timeouts of an attempt, which answers are forwarded, and how each
// end of an attempt is evaluated.

#include "relay/attempt.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

using std::chrono::milliseconds;

RouteRule Route(RouteKind kind) {
  RouteRule out;
  out.kind = kind;
  out.target_latency = milliseconds(1000);
  out.target_gap = milliseconds(800);
  return out;
}

RouteRule Resumable() {
  RouteRule out = Route(RouteKind::kStreaming);
  out.resumable = true;
  return out;
}

constexpr Duration kLeft = milliseconds(5000);

BOOST_AUTO_TEST_CASE(WhatMayBeRepeatedIsWaitedForInPartsOfItsObjective) {
  BOOST_TEST((FirstAnswerTimeout(Route(RouteKind::kIdempotent), kLeft) ==
              milliseconds(800)));
  BOOST_TEST((FirstAnswerTimeout(Resumable(), kLeft) == milliseconds(2600)));
}

BOOST_AUTO_TEST_CASE(WhatMustNotBeRepeatedIsWaitedForUntilItsDeadline) {
  BOOST_TEST(
      (FirstAnswerTimeout(Route(RouteKind::kNonIdempotent), kLeft) == kLeft));
  BOOST_TEST(
      (FirstAnswerTimeout(Route(RouteKind::kStreaming), kLeft) == kLeft));
}

BOOST_AUTO_TEST_CASE(AConnectionHasLessTimeThanItsAnswer) {
  const RouteRule once = Route(RouteKind::kNonIdempotent);
  BOOST_TEST((ConnectTimeout(once, kLeft) == milliseconds(250)));
  BOOST_TEST((ConnectTimeout(once, milliseconds(90)) == milliseconds(90)));
}

BOOST_AUTO_TEST_CASE(APauseIsWaitedForInPartsOfTheLongestOne) {
  RouteRule route = Resumable();
  BOOST_TEST((NextEventTimeout(route) == milliseconds(2000)));
  route.target_gap = milliseconds(100);
  BOOST_TEST((NextEventTimeout(route) == milliseconds(1000)));
}

// Guards against a sound target that is blamed for a peer which has stopped.
BOOST_AUTO_TEST_CASE(ASilenceBehindAPeerThatHasStoppedIsThePeers) {
  BOOST_TEST((WhoIsSilent(true, false) == SilentPart::kTarget));
  BOOST_TEST((WhoIsSilent(false, true) == SilentPart::kTarget));
  BOOST_TEST((WhoIsSilent(false, false) == SilentPart::kPeer));
}

BOOST_AUTO_TEST_CASE(OnlyTheAnswerToThisRequestIsWaitedFor) {
  const RequestId id("r-1");
  AnswerFacts answer;
  answer.request = id;
  BOOST_TEST(AnswersRequest(answer, id, false));
  answer.request = RequestId("r-2");
  BOOST_TEST(!AnswersRequest(answer, id, true));
  // Not even an answer which states that nothing has run.
  answer.not_run = true;
  BOOST_TEST(!AnswersRequest(answer, id, true));
  // An answer without an id counts only if it states that nothing has run, and
  // only on a connection that has carried no other call.
  answer.request = {};
  BOOST_TEST(AnswersRequest(answer, id, true));
  BOOST_TEST(!AnswersRequest(answer, id, false));
  answer.not_run = false;
  BOOST_TEST(!AnswersRequest(answer, id, true));
}

BOOST_AUTO_TEST_CASE(ASuccessNeedsItsSealAndAnErrorDoesNot) {
  BOOST_TEST(MayForward(200, true));
  BOOST_TEST(!MayForward(200, false));
  BOOST_TEST(!MayForward(299, false));
  BOOST_TEST(MayForward(300, false));
  BOOST_TEST(MayForward(404, false));
  BOOST_TEST(MayForward(500, false));
}

BOOST_AUTO_TEST_CASE(OnlySealedSuccessesOfStreamsArePassedOnByEvent) {
  BOOST_TEST(IsForwardedByEvent(RouteKind::kStreaming, 200, true));
  BOOST_TEST(!IsForwardedByEvent(RouteKind::kStreaming, 200, false));
  BOOST_TEST(!IsForwardedByEvent(RouteKind::kStreaming, 503, true));
  BOOST_TEST(!IsForwardedByEvent(RouteKind::kIdempotent, 200, true));
}

BOOST_AUTO_TEST_CASE(HeadersOfOneConnectionArentPassedOn) {
  HttpHead head;
  head.status = 201;
  head.reason = "Made";
  head.headers = {{"Connection", "x-private"},
                  {"X-Private", "1"},
                  {"Transfer-Encoding", "chunked"},
                  {"X-Public", "2"}};
  const HttpHead out = HeadForCaller(head);
  BOOST_TEST(out.status == 201);
  BOOST_TEST(out.reason == "Made");
  BOOST_REQUIRE(out.headers.size() == 1U);
  BOOST_TEST(out.headers[0].name == "X-Public");
}

struct EndCase {
  const char* what;
  AttemptFacts facts;
  bool answered;
  Ran ran;
  PlacementOutcome outcome;
  AttemptFault fault;
};

AttemptFacts Facts(CallEnd end, int status, bool sealed = true) {
  AttemptFacts out;
  out.end = end;
  out.status = status;
  out.answer.sealed = sealed;
  return out;
}

AttemptFacts NotRun(CallEnd end) {
  AttemptFacts out = Facts(end, 503, false);
  out.answer.not_run = true;
  return out;
}

AttemptFacts InEvent() {
  AttemptFacts out = Facts(CallEnd::kComplete, 200);
  out.in_event = true;
  return out;
}

AttemptFacts Streaming(int status) {
  AttemptFacts out = Facts(CallEnd::kComplete, status);
  out.streaming = true;
  return out;
}

const EndCase kEndCases[] = {
    {"not sent", Facts(CallEnd::kNotSent, 0, false), false, Ran::kNo,
     PlacementOutcome::kFailed, AttemptFault::kNotOpened},
    {"held back", Facts(CallEnd::kCancelledBeforeSend, 0, false), false,
     Ran::kNo, PlacementOutcome::kNeutral, AttemptFault::kHeldBack},
    {"broken before an answer", Facts(CallEnd::kBroken, 0, false), false,
     Ran::kUnknown, PlacementOutcome::kFailed, AttemptFault::kBroken},
    {"broken within an answer", Facts(CallEnd::kBroken, 200), false,
     Ran::kUnknown, PlacementOutcome::kFailed, AttemptFault::kBroken},
    {"bytes that are no answer", Facts(CallEnd::kMalformed, 0, false), false,
     Ran::kUnknown, PlacementOutcome::kFailed, AttemptFault::kMalformed},
    {"its peer ended within an answer", Facts(CallEnd::kTunnelBroken, 200),
     false, Ran::kUnknown, PlacementOutcome::kNeutral,
     AttemptFault::kTunnelBroken},
    // The statement that nothing has run must be complete as well.
    {"broken within a refusal", NotRun(CallEnd::kBroken), false, Ran::kUnknown,
     PlacementOutcome::kFailed, AttemptFault::kBroken},
    {"turned away", NotRun(CallEnd::kComplete), false, Ran::kNo,
     PlacementOutcome::kRefused, AttemptFault::kTurnedAway},
    {"without a seal", Facts(CallEnd::kComplete, 200, false), false,
     Ran::kUnknown, PlacementOutcome::kFailed, AttemptFault::kInvalid},
    {"ended within an event", InEvent(), false, Ran::kUnknown,
     PlacementOutcome::kFailed, AttemptFault::kInvalid},
    {"an error in a stream", Streaming(500), false, Ran::kUnknown,
     PlacementOutcome::kFailed, AttemptFault::kInvalid},
    {"the end of a stream", Streaming(200), true, Ran::kUnknown,
     PlacementOutcome::kGood, AttemptFault::kNone},
    {"a complete answer", Facts(CallEnd::kComplete, 200), true, Ran::kUnknown,
     PlacementOutcome::kGood, AttemptFault::kNone},
    {"a client error", Facts(CallEnd::kComplete, 404, false), true,
     Ran::kUnknown, PlacementOutcome::kGood, AttemptFault::kNone},
    {"a server error", Facts(CallEnd::kComplete, 500, false), true,
     Ran::kUnknown, PlacementOutcome::kNeutral, AttemptFault::kServerError},
};

// Guards against a caller that is told that its request hasn't run by a target
// that may have run it.
BOOST_AUTO_TEST_CASE(ARefusalNeedsAStatementThatNothingHasRun) {
  for (const int status : {408, 429, 503}) {
    for (const bool sealed : {false, true}) {
      AttemptFacts facts = Facts(CallEnd::kComplete, status, sealed);
      const AttemptResult unproven = EvaluateAttempt(facts);
      BOOST_TEST(!unproven.answered);
      BOOST_TEST(NameOf(unproven.ran) == NameOf(Ran::kUnknown));
      BOOST_TEST(NameOf(unproven.fault) == NameOf(AttemptFault::kUnproven));
      facts.answer.not_run = true;
      BOOST_TEST(NameOf(EvaluateAttempt(facts).ran) == NameOf(Ran::kNo));
    }
  }
}

BOOST_AUTO_TEST_CASE(EachEndHasItsMeaning) {
  for (const EndCase& it : kEndCases) {
    const AttemptResult result = EvaluateAttempt(it.facts);
    BOOST_TEST_CONTEXT(it.what) {
      BOOST_TEST(result.answered == it.answered);
      BOOST_TEST(NameOf(result.ran) == NameOf(it.ran));
      BOOST_TEST((result.outcome == it.outcome));
      BOOST_TEST(NameOf(result.fault) == NameOf(it.fault));
    }
  }
}

// Guards against a harmful request that is cleared because its target's crash
// looks like the end of an answer.
BOOST_AUTO_TEST_CASE(AnAnswerThatEndsWithItsConnectionShowsNoGoodRun) {
  HttpHead head;
  BOOST_TEST(!ShowsGoodRun(head));
  head.chunked = true;
  BOOST_TEST(ShowsGoodRun(head));
  head.chunked = false;
  head.content_length = 0;
  BOOST_TEST(ShowsGoodRun(head));
}

// Guards against a crash that is neither reported nor answered elsewhere, as it
// looks like the end of an answer.
BOOST_AUTO_TEST_CASE(AStreamThatEndsEarlyWithItsConnectionIsBroken) {
  HttpHead unframed;
  const auto end = CallEnd::kComplete;
  BOOST_TEST((EndOfStream(end, unframed, false, 0) == CallEnd::kBroken));
  BOOST_TEST((EndOfStream(end, unframed, true, 3) == CallEnd::kBroken));
  BOOST_TEST((EndOfStream(CallEnd::kTunnelBroken, unframed, false, 3) ==
              CallEnd::kTunnelBroken));
  BOOST_TEST((EndOfStream(end, unframed, false, 3) == CallEnd::kComplete));
  HttpHead chunked;
  chunked.chunked = true;
  BOOST_TEST((EndOfStream(end, chunked, false, 0) == CallEnd::kComplete));
  BOOST_TEST((EndOfStream(end, chunked, true, 3) == CallEnd::kComplete));
  BOOST_TEST((EndOfStream(CallEnd::kNotSent, unframed, false, 0) ==
              CallEnd::kNotSent));
}

// Guards against requests that wait for lost links until their deadline.
BOOST_AUTO_TEST_CASE(AttemptsThatWaitOnLostLinksEnd) {
  const LostLinksFacts unsent{true, Ran::kNo, false, true};
  BOOST_TEST((StepAfterLostLinks(unsent) == LostLinksStep::kUndo));
  const LostLinksFacts silent{true, Ran::kUnknown, false, true};
  BOOST_TEST((StepAfterLostLinks(silent) == LostLinksStep::kRetry));
}

// Guards against answers that are cut although they still arrive.
BOOST_AUTO_TEST_CASE(AttemptsThatDontWaitOnLostLinksGoOn) {
  const LostLinksFacts answered{true, Ran::kUnknown, false, false};
  BOOST_TEST((StepAfterLostLinks(answered) == LostLinksStep::kKeep));
  const LostLinksFacts paused{true, Ran::kUnknown, true, true};
  BOOST_TEST((StepAfterLostLinks(paused) == LostLinksStep::kKeep));
  const LostLinksFacts at_peer{false, Ran::kNo, false, true};
  BOOST_TEST((StepAfterLostLinks(at_peer) == LostLinksStep::kKeep));
}

}  // namespace
}  // namespace quaytrack
