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
// (ledger/recovery.h), and only if the owner's ledger entry names it.
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
  // The bill with the worst-case cost in `tokens`.
  Bill worst_case;
  // Where to query what ran; empty if the target can't be queried.
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

// Everything that was open when the link opened has been sent; what the witness
// received on earlier links is obsolete.
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

  // A link to a witness has opened: all open intents and bills are sent again.
  void OnLinkOpen();
  void OnLinkClosed();

  // Messages to send now, in order. The witness acknowledges the number of
  // messages that it has stored.
  std::vector<WitnessMessage> TakeOutgoing();

  // The witness has stored the first `n` messages of this link. Returns the
  // requests whose bills are now copied.
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
  // Message numbers of bills that are not acknowledged.
  std::deque<std::pair<std::uint64_t, RequestId>> unacked_;
};

// A witness's copies of one owner's intents and bills.
struct WitnessCopy {
  std::map<RequestId, Intent> intents;
  std::map<RequestId, BillMessage> bills;
};

class WitnessStore {
 public:
  // The owner opened a new link and will send everything again. Copies from the
  // last link are kept until then.
  void Restart(const Incarnation& owner);
  void OnMessage(const Incarnation& owner, const WitnessMessage& message);

  // All copies of an owner's intents and bills; std::nullopt if there are none.
  std::optional<WitnessCopy> Of(const Incarnation& owner) const;
  void Forget(const Incarnation& owner) { copies_.erase(owner); }
  std::size_t owners() const { return copies_.size(); }

 private:
  struct OwnerCopies {
    WitnessCopy current;
    // From earlier links, until the present one has caught up.
    WitnessCopy previous;
  };
  std::map<Incarnation, OwnerCopies> copies_;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_LEDGER_WITNESS_H_
