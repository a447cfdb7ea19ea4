// A stand-in for the platform's VM list. Changes appear after a lag.

#include <csignal>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/standin.h"
#include "testing/standins.h"

namespace quaytrack {
namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kCheckEvery = std::chrono::milliseconds(50);

class VmListStandin {
 public:
  explicit VmListStandin(int lag_ms) : lag_(std::chrono::milliseconds(lag_ms)) {
    standin_.OnPath("/vms", [this](const ExchangePtr& it) { List(it); });
    standin_.OnControl("set", [this](const Params& it) {
      ChangeAfterLag(it.Text("name"), it.Text("state"));
    });
    standin_.OnControl("remove", [this](const Params& it) {
      ChangeAfterLag(it.Text("name"), "");
    });
    standin_.OnControl("watch", [this](const Params& it) {
      watched_[it.Text("name")] = it.Number("pid", 0);
      visible_[it.Text("name")] = "live";
    });
    standin_.OnControl("mode", [this](const Params& it) {
      hang_ = it.Text("mode") == "hang";
      if (!hang_) unanswered_.clear();
    });
    timer_ = standin_.loop().Every(kCheckEvery, [this] { Check(); });
  }

  int Run(const StandinFlags& flags) {
    return standin_.Run(flags.listen, flags.admin);
  }

 private:
  struct Change {
    Instant visible_at{};
    std::string name;
    std::string state;  // empty if the VM is removed
  };

  void ChangeAfterLag(const std::string& name, const std::string& state) {
    changes_.push_back({standin_.Now() + lag_, name, state});
  }

  // Removes VMs whose process has ended, and applies changes after the lag.
  void Check() {
    for (auto it = watched_.begin(); it != watched_.end();) {
      if (kill(it->second, 0) == 0) {
        ++it;
        continue;
      }
      ChangeAfterLag(it->first, "");
      it = watched_.erase(it);
    }
    const Instant now = standin_.Now();
    std::erase_if(changes_, [&](const Change& it) {
      if (it.visible_at > now) return false;
      if (it.state.empty()) {
        visible_.erase(it.name);
      } else {
        visible_[it.name] = it.state;
      }
      return true;
    });
  }

  void List(const ExchangePtr& exchange) {
    if (hang_) {
      unanswered_.push_back(exchange);
      return;
    }
    Json vms = Json::array();
    for (const auto& [name, state] : visible_) {
      vms.push_back({{"name", name}, {"state", state}});
    }
    ReplyJson(exchange, Json{{"vms", vms}}.dump());
  }

  Standin standin_;
  Duration lag_;
  std::map<std::string, std::string> visible_;
  std::map<std::string, int> watched_;
  std::vector<Change> changes_;
  std::vector<ExchangePtr> unanswered_;
  bool hang_ = false;
  std::unique_ptr<Timer> timer_;
};

}  // namespace

int RunVmListStandin(const StandinFlags& flags, int lag_ms) {
  return VmListStandin(lag_ms).Run(flags);
}

}  // namespace quaytrack
