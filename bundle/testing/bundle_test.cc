// Tests that bundle texts are parsed with every problem reported, and that
// BundleKeeper accepts only signed bundles with rising versions.

#include "bundle/bundle.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "bundle/keeper.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;

const std::string kValidText =
    "quaytrack-bundle format=1 version=7\n"
    "# a comment\n"
    "budget clinics limit=1000 cover=10m standing=8\n"
    "customer a budget=clinics key=sha256:" +
    std::string(64, 'a') +
    "\n"
    "model m price-output=3\n"
    "service forms price=5\n"
    "call forms method=POST path=/sign/* repeat=never\n"
    "target e1 models=m address=10.0.0.1:80 hall=h1 slots=4\n"
    "target f1 kind=service service=forms address=10.0.0.2:80 hall=h1\n";

std::vector<BundleProblem> ProblemsOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<BundleProblem>> {
        BOOST_LEAF_CHECK(ReadBundle(text));
        return std::vector<BundleProblem>();
      },
      [](const BundleProblems& it) { return it.list; },
      [] {
        return std::vector<BundleProblem>{{0, "", "other"}};
      });
}

BOOST_AUTO_TEST_CASE(ReadsEverything) {
  const Bundle it = ReadBundle(kValidText).value();
  BOOST_TEST(it.version == 7U);
  BOOST_TEST(it.budgets[0].limit == 1000);
  BOOST_TEST(it.budgets[0].policy.cover.count() == 600);
  BOOST_TEST(it.targets.size() == 2U);
  const ServiceName forms("forms");
  BOOST_TEST((it.RepeatOf(forms, "POST", "/sign/x") == Repeat::kNever));
  BOOST_TEST((it.RepeatOf(forms, "GET", "/sign/x") == Repeat::kAllowed));
  BOOST_TEST((it.RepeatOf(forms, "POST", "/read") == Repeat::kAllowed));
}

struct BadLine {
  const char* line;
  const char* field;
};

const BadLine kBadLines[] = {
    {"budget b limit=-1", "limit"},
    {"budget b limit=many", "limit"},
    {"budget b", "limit"},
    {"budget b limit=1 limit=2", "limit"},
    {"budget b limit=1 colour=red", "colour"},
    {"budget clinics limit=1", "name"},
    {"budget b limit=1 cover=5y", "cover"},
    {"budget a/b limit=1", "name"},
    {"customer c budget=none key=sha256:1", "key"},
    // The digest of an empty key.
    {"customer c budget=clinics key=sha256:"
     "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
     "key"},
    {"model n price-prompt=-3", "price-prompt"},
    {"target t models=m address=nowhere hall=h", "address"},
    {"target t address=1.2.3.4:5 hall=h", "models"},
    {"target t models=x address=1.2.3.4:5 hall=h", "models"},
    {"target t kind=router address=1.2.3.4:5 hall=h models=m", "kind"},
    {"call forms method=POST path=sign", "path"},
    {"call nothing method=POST path=/x", "name"},
    {"nonsense x", ""},
};

BOOST_AUTO_TEST_CASE(NamesLineAndFieldOfEveryProblem) {
  BOOST_TEST(ProblemsOf(kValidText).empty());
  constexpr int kLine = 10;
  for (const BadLine& it : kBadLines) {
    const auto problems = ProblemsOf(kValidText + it.line + "\n");
    BOOST_REQUIRE_MESSAGE(!problems.empty(), it.line);
    BOOST_TEST(problems[0].line == kLine, it.line);
    BOOST_TEST(problems[0].field == it.field, it.line);
  }
  // A text with all the bad lines has all their problems reported.
  std::string all = kValidText;
  for (const BadLine& it : kBadLines) all += std::string(it.line) + "\n";
  BOOST_TEST(ProblemsOf(all).size() >= std::size(kBadLines));
}

BOOST_AUTO_TEST_CASE(AnyTextIsReadOrRefusedWithoutHarm) {
  BOOST_TEST(rc::check([](const std::string& text) {
    ProblemsOf(text);
    ProblemsOf("quaytrack-bundle format=1 version=1\n" + text);
  }));
}

struct Signed {
  BundleHead head;
  std::string text;
};

struct KeeperFixture {
  KeeperFixture() {
    for (const char* name : {"ann", "ben", "cat"}) {
      pairs[name] = MakeOperatorKeyPair();
      keys[name] = pairs[name].public_key;
    }
  }

  Signed Make(std::uint64_t version, const std::vector<std::string>& signers) {
    Signed out;
    out.text = "quaytrack-bundle format=1 version=" + std::to_string(version) +
               "\nmodel m\n";
    out.head.version = version;
    out.head.digest = Sha256Hex(out.text);
    for (const std::string& it : signers) {
      const auto signature =
          SignBundle(pairs[it].private_key, version, out.text);
      out.head.signatures.push_back({it, *signature});
    }
    return out;
  }

  std::map<std::string, OperatorKeyPair> pairs;
  OperatorKeys keys;
};

BOOST_FIXTURE_TEST_CASE(TakesOnlyNewerSignedAndWhole, KeeperFixture) {
  BundleKeeper keeper(keys);
  const auto decision = [&](const Signed& it) {
    return NameOf(keeper.Offer(it.head, it.text));
  };
  BOOST_TEST(decision(Make(3, {"ann"})) == "too_few_signatures");
  BOOST_TEST(decision(Make(3, {"ann", "ann"})) == "too_few_signatures");
  Signed forged = Make(3, {"ann", "ben"});
  forged.text += "model extra\n";
  BOOST_TEST(decision(forged) == "wrong_digest");
  forged.head.digest = Sha256Hex(forged.text);
  BOOST_TEST(decision(forged) == "too_few_signatures");
  Signed raised = Make(3, {"ann", "ben"});
  raised.head.version = 9;
  BOOST_TEST(decision(raised) == "too_few_signatures");
  BOOST_TEST(decision(Make(3, {"ann", "ben"})) == "taken");
  BOOST_TEST(decision(Make(3, {"ann", "cat"})) == "not_newer");
  BOOST_TEST(decision(Make(2, {"ann", "ben", "cat"})) == "not_newer");
  BOOST_TEST(keeper.version() == 3U);
}

BOOST_FIXTURE_TEST_CASE(VersionNeverGoesBack, KeeperFixture) {
  std::vector<Signed> all;
  for (std::uint64_t n = 1; n <= 6; ++n) {
    all.push_back(Make(n, {"ann", "ben"}));
    all.push_back(Make(n, {"ann"}));
  }
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t>& order) {
    BundleKeeper keeper(keys);
    std::uint64_t highest = 0;
    for (std::uint8_t it : order) {
      const Signed& offered = all[it % all.size()];
      keeper.Offer(offered.head, offered.text);
      if (offered.head.signatures.size() == 2) {
        highest = std::max(highest, offered.head.version);
      }
      RC_ASSERT(keeper.version() == highest);
    }
  }));
}

}  // namespace
}  // namespace quaytrack
