// Fingerprint: by which a request is known again when its caller returns with
// it. Each attempt of a caller has a request id of its own, so two attempts at
// the same thing share nothing else.
//
//   const Fingerprint it = FingerprintOf(head, body, customer);
//
// Two requests have the same one if method, path with query, customer and body
// are the same. Other headers are left out, as they differ between attempts.
// The customer is in it, so that nothing is ever said of one customer's request
// because of another's. Requests that need no key have no customer; among them
// the same path and body is the same request, whoever sends it.
//
// It is 128 bits of SHA-256, so that no caller can find a request that is taken
// for another one. It costs about 1 ms for each megabyte of body, so it is made
// only where one is asked for (relay/crash_watch.h).

#ifndef QUAYTRACK_RELAY_FINGERPRINT_H_
#define QUAYTRACK_RELAY_FINGERPRINT_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/ids.h"
#include "net/http_message.h"

namespace quaytrack {

inline Fingerprint FingerprintOf(const HttpHead& head, std::string_view body,
                                 const CustomerName& customer) {
  constexpr std::size_t kHexDigits = 32;
  std::string all;
  for (const std::string_view it :
       {std::string_view(head.method), std::string_view(head.target),
        std::string_view(customer.value)}) {
    // With its length first, nothing of a field can pass for the next one.
    all += std::to_string(it.size()) + ":";
    all += it;
  }
  all += body;
  return Fingerprint(Sha256Hex(all).substr(0, kHexDigits));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FINGERPRINT_H_
