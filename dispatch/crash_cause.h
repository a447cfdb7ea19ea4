// What may crash a target: a request, whose caller sends it again and again, or
// a part of a prompt, which requests share that are otherwise different.
//
//   const RequestCauses causes{
//       fingerprint, CausesOfParts(service, SharedParts(prompt))};
//
// Each lost attempt has several possible causes, by these names. The rule that
// chooses between them is that of dispatch/crash_blame.h.
//
// A part counts for one service: the same text may be harmful to one model and
// not to another. It counts for all customers, as they share it. The last part
// of a prompt belongs to the request itself, so the request stands for it.
//
// Names are texts, which routers store and exchange. Those of parts can't equal
// a fingerprint. There are no errors.

#ifndef QUAYTRACK_DISPATCH_CRASH_CAUSE_H_
#define QUAYTRACK_DISPATCH_CRASH_CAUSE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "dispatch/prefix_cache.h"

namespace quaytrack {

enum class CauseKind { kRequest, kPart };

using CauseId = Id<struct CauseTag>;

inline constexpr std::string_view kPartCausePrefix = "part/";

inline CauseId CauseOf(const Fingerprint& request) {
  return CauseId(request.value);
}

inline CauseId CauseOf(const ServiceName& service, PartId part) {
  return CauseId(std::string(kPartCausePrefix) + service.value + "/" +
                 HexText(part));
}

inline CauseKind KindOf(const CauseId& cause) {
  return cause.value.starts_with(kPartCausePrefix) ? CauseKind::kPart
                                                   : CauseKind::kRequest;
}

// All that may be the cause if a target crashes while it runs a request.
struct RequestCauses {
  Fingerprint request;
  // Of its shared parts, in the order of the prompt.
  std::vector<CauseId> parts;
};

inline std::vector<CauseId> CausesOfParts(const ServiceName& service,
                                          const std::vector<PartId>& parts) {
  std::vector<CauseId> out;
  out.reserve(parts.size());
  for (const PartId it : parts) out.push_back(CauseOf(service, it));
  return out;
}

}  // namespace quaytrack

#endif  // QUAYTRACK_DISPATCH_CRASH_CAUSE_H_
