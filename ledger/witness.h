// Copies of unwritten bills at a peer, so that a router may die without taking
// them along.
//
// Writing each bill to the key-value service before its answer ends would cost
// a write a request. So each router names one peer in another hall as its
// witness, and tells it what it sends to targets (an intent), what that cost (a
// bill), and what has reached the service (written). An answer's end waits only
// for the witness's acknowledgement. This is the primary/backup scheme of
// Alsberg and Day (1976) for the few seconds between two ledger writes.
//
// The witness acts on its copies only after proof that the owner is dead
// (ledger/recovery.h), and only if the owner's ledger entry names it.
//
//   WitnessFeed   the owner's side: what to tell, and what was acknowledged;
//   WitnessStore  the witness's side: what it was told.

#ifndef QUAYTRACK_LEDGER_WITNESS_H_
#define QUAYTRACK_LEDGER_WITNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "ledger/bill.h"

namespace quaytrack {

// A request that was handed to a target and has no bill yet.
struct Intent {
  // What the bill would say; `tokens` is the worst case.
  Bill worst_case;
  // Where to ask what ran; empty if the target can't be asked.
  std::string target_address;
  Tokens price_prompt = 0;
  Tokens price_output = 0;

  bool operator==(const Intent&) const = default;
};

struct IntentMessage {
  Intent intent;
};
struct BillMessage {
  std::uint64_t seq = 0;
  Bill bill;
};
// The request ended without a bill.
struct ReleaseMessage {
  RequestId request;
};
// All batches up to `seq` are stored.
struct WrittenMessage {
  std::uint64_t seq = 0;
};

// Everything that was open when the link opened has been told; what the witness
// knew from an earlier link is out of date.
struct CaughtUpMessage {};

using WitnessMessage = std::variant<IntentMessage, BillMessage, ReleaseMessage,
                                    WrittenMessage, CaughtUpMessage>;

// What to send, and when a bill counts as copied.
class WitnessFeed {
 public:
  void OnIntent(const Intent& intent);
  void OnBill(const Bill& bill, std::uint64_t seq);
  void OnRelease(const RequestId& request);
  void OnWritten(std::uint64_t seq);

  // A link to a witness has opened: everything open is told again.
  void OnLinkOpen();
  void OnLinkClosed();

  // Messages to send now, in order. Each counts one towards the number that the
  // witness acknowledges.
  std::vector<WitnessMessage> TakeOutgoing();

  // The witness has stored the first `n` messages of this link. Returns the
  // requests whose bills are now copied.
  std::vector<RequestId> OnAck(std::uint64_t n);

  // Everything that was open when the link opened has been acknowledged.
  bool CaughtUp() const { return open_ && acked_ >= catch_up_; }

 private:
  struct OpenBill {
    Bill bill;
    std::uint64_t seq = 0;
  };
  void Push(WitnessMessage message);

  bool open_ = false;
  std::map<RequestId, Intent> intents_;
  std::map<RequestId, OpenBill> bills_;
  std::vector<WitnessMessage> outgoing_;
  std::uint64_t pushed_ = 0;
  std::uint64_t acked_ = 0;
  std::uint64_t catch_up_ = 0;
  // Message numbers of bills that are not acknowledged.
  std::deque<std::pair<std::uint64_t, RequestId>> unacked_;
};

// What a witness holds of one owner.
struct WitnessCopy {
  std::map<RequestId, Intent> intents;
  std::map<RequestId, BillMessage> bills;
};

class WitnessStore {
 public:
  // The owner opened a new link and will tell everything again. What is known
  // from the last link stays until it has.
  void Restart(const Incarnation& owner);
  void OnMessage(const Incarnation& owner, const WitnessMessage& message);

  // Everything known of an owner; empty if nothing is.
  std::optional<WitnessCopy> Of(const Incarnation& owner) const;
  void Forget(const Incarnation& owner) { held_.erase(owner); }
  std::size_t owners() const { return held_.size(); }

 private:
  struct Held {
    WitnessCopy now;
    // From before the present link, until it has caught up.
    WitnessCopy before;
  };
  std::map<Incarnation, Held> held_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_WITNESS_H_
