#include "router/forward_job.h"

namespace quaytrack {
namespace {

constexpr int kMisdirected = 421;

}  // namespace

std::optional<AnswerKind> ClassifyRefusal(const HttpResult& result) {
  const bool is_refusal = PromisesNotRun(result.status);
  if (!is_refusal) return std::nullopt;
  const bool is_proven =
      result.status == kMisdirected || result.HasHeader(kNotRunHeader);
  return is_proven ? AnswerKind::kOverloaded : AnswerKind::kUnproven;
}

}  // namespace quaytrack
