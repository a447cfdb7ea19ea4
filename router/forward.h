// One request on its way: from a caller, through budget and queue, to a target,
// and its answer back. chart/charts/forward.json is the map; this class does
// what each arrow says.
//
// What differs between model calls and service calls is the job:
//
//   auto it = std::make_shared<Forward<ModelJob>>(context, exchange, basics,
//                                                 std::move(job));
//   it->Start();

#ifndef QUAYTRACK_ROUTER_FORWARD_H_
#define QUAYTRACK_ROUTER_FORWARD_H_

#include <concepts>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/log.h"
#include "router/context.h"
#include "router/request_reader.h"

struct evbuffer;

namespace quaytrack {

// What is the same for all requests.
struct RequestBasics {
  RequestId request;
  CallerHeaders headers;
  BudgetName budget;
  int customer_weight = 1;
  GroupName group;
  std::uint64_t prefix_hash = 0;
  Tokens worst_case = 0;
  Instant arrived{};
  Instant deadline{};
  // May be sent again although an attempt may have run.
  bool repeatable = true;
  // Claimed in the key-value service before it is sent.
  bool needs_claim = false;
  // Digest of method, path and body.
  std::string digest;
  Duration attempt_timeout = std::chrono::seconds(30);
};

// What a target's answer means.
enum class AnswerKind {
  kComplete,    // the caller's answer
  kPassedOn,    // an error that is the caller's own; nothing ran
  kOverloaded,  // refused for lack of room; nothing ran
  kFailed,      // an error, or an answer that is cut short
};

// The part of a request that depends on its kind.
template <class J>
concept ForwardJob = requires(J job, const std::string& address,
                              const HttpResult& result, evbuffer* data,
                              HttpExchange& exchange, int status) {
  { job.Request(address) } -> std::same_as<HttpRequest>;
  // The answer goes to the caller while it arrives.
  { job.streams() } -> std::same_as<bool>;
  { job.Begin(exchange) } -> std::same_as<void>;
  // Passes data on; returns how many events it had.
  { job.Relay(data, exchange) } -> std::same_as<int>;
  { job.Judge(result) } -> std::same_as<AnswerKind>;
  // Cost of a complete answer, and of one that was cut short.
  { job.Cost() } -> std::same_as<Tokens>;
  { job.CostIfCut() } -> std::same_as<Tokens>;
  // Sends what was held back.
  { job.Deliver(exchange) } -> std::same_as<void>;
  { job.Kept() } -> std::same_as<KeptAnswer>;
  // Whether it is ended when its caller leaves; then, how to ask the target
  // what had run, and what to make of the answer.
  { J::kCancellable } -> std::convertible_to<bool>;
  { job.CancelRequest(address, RequestId()) } -> std::same_as<HttpRequest>;
  { job.OnCancelled(result) } -> std::same_as<void>;
  // What a witness must know to find out what this request cost.
  { job.MakeIntent(address, Bill()) } -> std::same_as<Intent>;
};

template <ForwardJob Job>
class Forward : public std::enable_shared_from_this<Forward<Job>> {
 public:
  Forward(RouterContext& context, std::shared_ptr<HttpExchange> exchange,
          RequestBasics basics, Job job);

  void Start();
  void Refuse(Refusal refusal);

  // Events from the rest of the router.
  void OnHoldGranted() { Apply(ForwardEvent::kHoldGranted); }
  void OnHoldRefused(HoldRefusal why);
  void OnClaimWon();
  void OnClaimAnswer(const ClaimAnswer& answer);
  // Takes a target if one has room; false if none has.
  bool TryAssign();
  void OnQueueExpired(Duration retry_after);
  void OnTargetUnresponsive(const TargetName& target);
  void OnBillSafe(BillSafety safety);
  void OnClaimStored();
  void Tick(Instant now);

  ForwardState state() const { return machine_.state(); }

 private:
  void Apply(ForwardEvent event);
  void Do(ForwardAction action);

  void Claim();
  void Hold();
  void FindTarget();
  void Enqueue();
  void Send();
  void OnHead(int status);
  void OnData(evbuffer* data);
  void OnEnd(const HttpResult& result);
  void GiveUpAttempt();
  void OnAttemptFailed(const HttpResult& result, AnswerKind kind);
  void ReleaseTarget(TargetOutcome outcome);
  void SettleAs(Tokens cost);
  void EndClaim(bool answered);
  void FinishWhenStored();
  void ReplyRefusal();
  void Abandon();
  void Cancel();
  void Finish();
  void End();
  Bill MakeBill(Tokens tokens) const;
  std::string BillId() const;
  std::string Marker() const;

  RouterContext& context_;
  std::shared_ptr<HttpExchange> exchange_;
  RequestBasics basics_;
  Job job_;
  ChartMachine<ForwardState, ForwardEvent, ForwardAction> machine_;
  RequestHistograms histograms_;

  std::shared_ptr<HttpCall> call_;
  std::optional<TargetIndex> chosen_;
  TargetName target_;
  std::set<TargetName> tried_;
  Instant queued_at_{};
  Instant sent_at_{};
  Instant last_event_{};
  bool streaming_ = false;
  bool paused_ = false;
  bool held_ = false;
  bool claimed_ = false;
  // The claim's end is being stored; the answer waits for it.
  bool storing_claim_ = false;
  bool bill_safe_ = false;
  Instant settled_at_{};
  bool sent_once_ = false;
  bool answered_ = false;
  bool joined_ = false;
  // An answer that is given instead of the target's.
  std::optional<KeptAnswer> replay_;
  Refusal refusal_;
};

}  // namespace quaytrack

#include "router/forward_impl.h"

#endif  // QUAYTRACK_ROUTER_FORWARD_H_
