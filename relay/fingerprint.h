// A fingerprint identifies a request that a caller sends again. Each attempt of
// a caller has its own request id, so two attempts at the same request share
// nothing else.
//
//   const Fingerprint it = FingerprintOf(head, body, customer);
//
// Two requests have the same fingerprint if method, path with query, customer
// and body are the same. Other headers are left out, as they differ between
// attempts. The customer is included, so that no customer's request is affected
// by another's. Requests that need no key have no customer; among them the same
// path and body are the same request, whoever sends them.
//
// A fingerprint is 128 bits of SHA-256, so that no caller can find a request
// with another one's fingerprint. Computing it takes about 1 ms for each
// megabyte of body, so it is computed only where it is needed
// (relay/crash_watch.h, and streams that callers may take up).

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
  std::string input;
  for (const std::string_view it :
       {std::string_view(head.method), std::string_view(head.target),
        std::string_view(customer.value)}) {
    // The length prefix keeps one field's bytes from being read as the next
    // field's.
    input += std::to_string(it.size()) + ":";
    input += it;
  }
  input += body;
  return Fingerprint(Sha256Hex(input).substr(0, kHexDigits));
}

}  // namespace quaytrack

#endif  // QUAYTRACK_RELAY_FINGERPRINT_H_
