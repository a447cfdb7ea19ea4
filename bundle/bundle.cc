#include "bundle/bundle.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <set>

#include "base/digest.h"
#include "bundle/line.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

constexpr Tokens kMaxTokens = 1'000'000'000'000'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256HexLength = 64;

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char it) {
    return std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '-' ||
           it == '_' || it == '.';
  });
}

bool IsHexDigest(std::string_view text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view port = text.substr(colon + 1);
  return !port.empty() && port.size() <= 5 &&
         port.find_first_not_of("0123456789") == std::string_view::npos;
}

// Parses the lines in order and checks references at the end.
class BundleParser {
 public:
  leaf::result<Bundle> Read(std::string_view text) {
    int number = 0;
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      ReadLine(++number, text.substr(0, end));
      if (end == std::string_view::npos) break;
      text.remove_prefix(end + 1);
    }
    if (!saw_header_) {
      problems_.push_back({1, "", "the text has no quaytrack-bundle line"});
    }
    CheckReferences();
    if (!problems_.empty()) {
      return leaf::new_error(BundleProblems{std::move(problems_)});
    }
    return std::move(bundle_);
  }

 private:
  using LineParser = void (BundleParser::*)(BundleLine&);
  struct Kind {
    std::string_view name;
    LineParser read;
  };
  static const std::array<Kind, 6> kKinds;

  void ReadLine(int number, std::string_view text) {
    BundleLine line(number, text, problems_);
    if (line.blank()) return;
    if (!saw_header_) {
      ReadHeader(line);
      return;
    }
    for (const Kind& it : kKinds) {
      if (it.name != line.kind()) continue;
      CheckName(line);
      (this->*it.read)(line);
      line.Finish();
      return;
    }
    line.Problem("", "'" + line.kind() + "' is not a kind of item");
  }

  void ReadHeader(BundleLine& line) {
    saw_header_ = true;
    if (line.kind() != "quaytrack-bundle") {
      line.Problem("", "the first line must be a quaytrack-bundle line");
      return;
    }
    line.Number("format", 1, 1);
    bundle_.version = static_cast<std::uint64_t>(
        line.Number("version", 1, std::numeric_limits<std::int64_t>::max()));
    line.Finish();
  }

  // Names are unique within a kind, except that a call has its service's name.
  void CheckName(BundleLine& line) {
    if (!IsName(line.name())) {
      line.Problem("name",
                   "is '" + line.name() +
                       "'; allowed: 1 to 64 letters, digits, '-', '_', '.'");
      return;
    }
    if (line.kind() == "call") return;
    if (!names_.insert(line.kind() + " " + line.name()).second) {
      line.Problem("name", "'" + line.name() + "' is defined twice");
    }
  }

  // Records that `line` refers to another item, for CheckReferences.
  void AddReference(const BundleLine& line, const std::string& field,
                    const std::string& kind, const std::string& name) {
    if (!name.empty())
      references_.push_back({line.number(), field, kind, name});
  }

  void ReadBudget(BundleLine& line) {
    BudgetSetting it;
    it.name = BudgetName(line.name());
    it.limit = line.Number("limit", 0, kMaxTokens);
    it.policy.cover = std::chrono::duration_cast<std::chrono::seconds>(
        line.Span("cover", it.policy.cover));
    it.policy.standing_divisor = static_cast<int>(
        line.Number("standing", 0, 100000, it.policy.standing_divisor));
    bundle_.budgets.push_back(it);
  }

  void ReadCustomer(BundleLine& line) {
    CustomerSetting it;
    it.name = CustomerName(line.name());
    it.budget = BudgetName(line.Text("budget"));
    AddReference(line, "budget", "budget", it.budget.value);
    it.weight = static_cast<int>(line.Number("weight", 1, 1000, 1));
    static constexpr std::string_view kPrefix = "sha256:";
    const std::string key = line.Text("key");
    if (!key.starts_with(kPrefix) || !IsHexDigest(key.substr(kPrefix.size()))) {
      line.Problem("key", "must be sha256: and 64 lower-case hex digits");
      return;
    }
    it.key_sha256 = key.substr(kPrefix.size());
    if (it.key_sha256 == Sha256Hex(""))
      line.Problem("key", "is an empty key's");
    if (!bundle_.customer_by_key.emplace(it.key_sha256, it.name).second) {
      line.Problem("key", "belongs to another customer too");
    }
    bundle_.customers[it.name] = it;
  }

  void ReadModel(BundleLine& line) {
    ModelSetting it;
    it.name = ModelName(line.name());
    it.price_prompt = line.Number("price-prompt", 0, 1000000, 1);
    it.price_output = line.Number("price-output", 0, 1000000, 1);
    it.max_tokens = line.Number("max-tokens", 1, 10000000, it.max_tokens);
    it.default_max_tokens = line.Number("default-max-tokens", 1, it.max_tokens,
                                        it.default_max_tokens);
    bundle_.models[it.name] = it;
  }

  void ReadService(BundleLine& line) {
    ServiceSetting it;
    it.name = ServiceName(line.name());
    it.price = line.Number("price", 0, 1000000, 1);
    it.timeout = line.Span("timeout", it.timeout);
    bundle_.services[it.name] = it;
  }

  void ReadCall(BundleLine& line) {
    CallSetting it;
    it.method = line.Text("method");
    it.path = line.Text("path");
    it.repeat = line.Choice("repeat", Repeat::kAllowed);
    if (!it.path.starts_with('/')) line.Problem("path", "must start with '/'");
    AddReference(line, "name", "service", line.name());
    bundle_.services[ServiceName(line.name())].calls.push_back(it);
  }

  void ReadTarget(BundleLine& line) {
    TargetSetting it;
    it.name = TargetName(line.name());
    it.kind = line.Choice("kind", TargetKind::kEngine);
    for (std::string& name : line.List("models")) {
      AddReference(line, "models", "model", name);
      it.models.emplace_back(std::move(name));
    }
    it.service = ServiceName(line.OptionalText("service"));
    AddReference(line, "service", "service", it.service.value);
    it.address = line.Text("address");
    it.hall = HallName(line.Text("hall"));
    it.vm = VmName(line.OptionalText("vm"));
    it.slots = static_cast<int>(line.Number("slots", 1, 100000, it.slots));
    it.leaving = line.Choice("leaving", YesNo::kNo) == YesNo::kYes;
    CheckTarget(line, it);
    bundle_.targets.push_back(it);
  }

  static void CheckTarget(BundleLine& line, const TargetSetting& it) {
    if (!it.address.empty() && !IsAddress(it.address)) {
      line.Problem("address", "is '" + it.address + "'; allowed: IP:PORT");
    }
    if (it.kind == TargetKind::kEngine && it.models.empty()) {
      line.Problem("models", "is missing: an engine serves at least one");
    }
    if (it.kind == TargetKind::kService && it.service.empty()) {
      line.Problem("service", "is missing: a service target serves one");
    }
  }

  void CheckReferences() {
    for (const Reference& it : references_) {
      if (names_.contains(it.kind + " " + it.name)) continue;
      problems_.push_back({it.line, it.field,
                           "names " + it.kind + " '" + it.name +
                               "', which the bundle doesn't define"});
    }
  }

  struct Reference {
    int line;
    std::string field;
    std::string kind;
    std::string name;
  };

  Bundle bundle_;
  bool saw_header_ = false;
  std::set<std::string> names_;
  std::vector<Reference> references_;
  std::vector<BundleProblem> problems_;
};

const std::array<BundleParser::Kind, 6> BundleParser::kKinds = {{
    {"budget", &BundleParser::ReadBudget},
    {"customer", &BundleParser::ReadCustomer},
    {"model", &BundleParser::ReadModel},
    {"service", &BundleParser::ReadService},
    {"call", &BundleParser::ReadCall},
    {"target", &BundleParser::ReadTarget},
}};

std::multiset<std::string> LinesOf(std::string_view text) {
  std::multiset<std::string> out;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    if (!line.empty()) out.emplace(line);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return out;
}

}  // namespace

std::string BundleProblem::ToString() const {
  std::string out = "line " + std::to_string(line) + ": ";
  if (!field.empty()) out += field + ": ";
  return out + message;
}

leaf::result<Bundle> ReadBundle(std::string_view text) {
  return BundleParser().Read(text);
}

Repeat Bundle::RepeatOf(const ServiceName& service, std::string_view method,
                        std::string_view path) const {
  auto it = services.find(service);
  if (it == services.end()) return Repeat::kNever;
  for (const CallSetting& call : it->second.calls) {
    if (call.method != method) continue;
    const bool prefix = call.path.ends_with('*');
    const std::string_view pattern =
        std::string_view(call.path).substr(0, call.path.size() - prefix);
    if (prefix ? path.starts_with(pattern) : path == pattern) {
      return call.repeat;
    }
  }
  return Repeat::kAllowed;
}

std::vector<std::string> DiffBundles(std::string_view before,
                                     std::string_view after) {
  const auto old_lines = LinesOf(before);
  const auto new_lines = LinesOf(after);
  std::vector<std::string> out;
  std::vector<std::string> only;
  std::set_difference(old_lines.begin(), old_lines.end(), new_lines.begin(),
                      new_lines.end(), std::back_inserter(only));
  for (const std::string& it : only) out.push_back("- " + it);
  only.clear();
  std::set_difference(new_lines.begin(), new_lines.end(), old_lines.begin(),
                      old_lines.end(), std::back_inserter(only));
  for (const std::string& it : only) out.push_back("+ " + it);
  return out;
}

}  // namespace quaytrack
