// A stand-in for the weight store: any weight, at a limited rate over all
// callers together.

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr int kStepsPerSecond = 50;
constexpr std::size_t kWeightBytes = 1024 * 1024;

class WeightStandin {
 public:
  explicit WeightStandin(int kilobytes_per_second)
      : bytes_a_step_(static_cast<std::size_t>(kilobytes_per_second) * 1024 /
                      kStepsPerSecond) {
    standin_.OnPrefix("/weights/", [this](const ExchangePtr& it) {
      it->StartStream(200, "application/octet-stream", {});
      loads_.push_back({it, kWeightBytes});
    });
    timer_ = standin_.loop().Every(kStep, [this] { Step(); });
  }

  int Run(const StandinFlags& flags) {
    return standin_.Run(flags.listen, flags.admin);
  }

 private:
  struct Load {
    ExchangePtr exchange;
    std::size_t left = 0;
  };

  void Step() {
    std::size_t allowance = bytes_a_step_;
    while (allowance > 0 && !loads_.empty()) {
      Load& it = loads_.front();
      const std::size_t n = std::min(allowance, it.left);
      it.exchange->Write(std::string(n, 'w'));
      it.left -= n;
      allowance -= n;
      if (it.left > 0) continue;
      it.exchange->EndStream();
      loads_.pop_front();
    }
  }

  Standin standin_;
  std::size_t bytes_a_step_;
  std::deque<Load> loads_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace

int RunWeightStandin(const StandinFlags& flags, int kilobytes_per_second) {
  return WeightStandin(kilobytes_per_second).Run(flags);
}

}  // namespace quaytrack
