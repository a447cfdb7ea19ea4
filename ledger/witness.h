// Keeps copies of unwritten bills at a peer, so that they survive the router's
// death.
//
// Writing each bill to the key-value service before its answer ends would cost
// a write per request. So each router chooses one peer as its witness, in
// another hall if there is one, and sends it each request that goes to a target
// (an intent), its cost (a bill), and which bills are stored in the service
// (written). The end of an answer waits only for the witness's acknowledgement.
// This is the primary/backup scheme of Alsberg and Day (1976) for the few
// seconds between two ledger writes.
//
// The witness uses its copies only after proof that the owner is dead
// (ledger/recovery.h), and only if the owner's ledger entry names this witness.
//
//   WitnessFeed   the owner's side: what to send, and what was acknowledged;
//   WitnessStore  the witness's side: what it received from each owner.

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

// A request that was sent to a target and has no bill yet.
struct Intent {
  // A bill whose `tokens` are the worst-case cost.
  Bill worst_case;
  // Address at which to query what ran; empty if the target can't be queried.
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
// Reports that the request ended without a bill.
struct ReleaseMessage {
  RequestId request;
};
// Reports that all batches up to `seq` are stored.
struct WrittenMessage {
  std::uint64_t seq = 0;
};

// Reports that all intents and bills that were open when the link opened have
// been sent. What the witness received on earlier links is obsolete.
struct CaughtUpMessage {};

using WitnessMessage = std::variant<IntentMessage, BillMessage, ReleaseMessage,
                                    WrittenMessage, CaughtUpMessage>;

// Decides what to send to the witness, and when a bill counts as copied.
class WitnessFeed {
 public:
  void OnIntent(const Intent& intent);
  void OnBill(const Bill& bill, std::uint64_t seq);
  void OnRelease(const RequestId& request);
  void OnWritten(std::uint64_t seq);

  // Call when a link to a witness has opened: all open intents and bills are
  // sent again.
  void OnLinkOpen();
  void OnLinkClosed();

  // Returns the messages to send now, in order. The witness acknowledges the
  // number of messages that it has stored.
  std::vector<WitnessMessage> TakeOutgoing();

  // Call when the witness has stored the first `n` messages of this link.
  // Returns the requests whose bills are now copied.
  std::vector<RequestId> OnAck(std::uint64_t n);

  // Whether everything that was open when the link opened is acknowledged.
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
  // Message number and request of each bill that is not acknowledged.
  std::deque<std::pair<std::uint64_t, RequestId>> unacked_;
};

// A witness's copies of one owner's intents and bills.
struct WitnessCopy {
  std::map<RequestId, Intent> intents;
  std::map<RequestId, BillMessage> bills;
};

class WitnessStore {
 public:
  // Call when the owner has opened a new link, on which it sends everything
  // again. Copies from earlier links are kept until it has done so.
  void Restart(const Incarnation& owner);
  void OnMessage(const Incarnation& owner, const WitnessMessage& message);

  // Returns all copies of an owner's intents and bills, or std::nullopt if
  // there are none.
  std::optional<WitnessCopy> Of(const Incarnation& owner) const;
  void Forget(const Incarnation& owner) { copies_.erase(owner); }
  std::size_t owners() const { return copies_.size(); }

 private:
  struct OwnerCopies {
    WitnessCopy current;
    // Copies from earlier links; they are kept until the present link has
    // caught up.
    WitnessCopy previous;
  };
  std::map<Incarnation, OwnerCopies> copies_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_WITNESS_H_
