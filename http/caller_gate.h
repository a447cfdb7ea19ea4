// CallerGate: decides, when the head of a caller's request has arrived, whether
// the body is read, and when.
//
//   server.SetGate(&gate);        // optional; without it, all is read at once
//
// The relay uses it to protect the link of its VM (relay/link_gate.h): a
// request that is refused at its head doesn't carry its body, and while the
// incoming direction is full, bodies are read in turns.
//
// The gate must outlive the server. It is called from inside the parser, so it
// must not answer or close the connection.

#ifndef QUAYTRACK_HTTP_CALLER_GATE_H_
#define QUAYTRACK_HTTP_CALLER_GATE_H_

#include <cstddef>
#include <memory>

#include "base/ids.h"

namespace quaytrack {

class CallerConnection;
struct CallerRequest;

class CallerGate {
 public:
  enum class Verdict {
    kRead,
    kWait,    // reading goes on with `CallerConnection::AllowBody`
    kRefuse,  // the handler gets the request without its body, and refuses it
  };

  virtual ~CallerGate() = default;
  // `body_bytes` is the announced size of the body; 0 if it isn't announced.
  virtual Verdict OnHead(const std::shared_ptr<CallerConnection>& caller,
                         CallerRequest& request, std::size_t body_bytes) = 0;
  // Whether the connection ends with the answer that is about to be sent.
  virtual bool EndsConnection(const CustomerName& customer) = 0;
};

}  // namespace quaytrack

#endif  // QUAYTRACK_HTTP_CALLER_GATE_H_
