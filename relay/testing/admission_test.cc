// Tests which requests are admitted, with which deadline and worst-case cost,
// and the cause of each refusal.

#include "relay/admission.h"

#include <boost/test/unit_test.hpp>

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

// Returns the same facts for every head, or an error.
class FixedDialect : public CallerDialect {
 public:
  leaf::result<RequestFacts> Read(const HttpHead&) const override {
    if (unreadable) return leaf::new_error(HeaderError{"usage"});
    return facts;
  }

  RequestFacts facts;
  bool unreadable = false;
};

RouteRule Route(const char* name, const char* prefix, const char* service) {
  RouteRule out;
  out.name = name;
  out.host = "api.example";
  out.path_prefix = prefix;
  out.timeout = milliseconds(4000);
  out.services = {{ServiceName(service), 1}};
  return out;
}

ServiceMap Map() {
  RouteRule open = Route("open", "/open/", "desk");
  open.open_to_all = true;
  RouteRule split = Route("split", "/split/", "llm");
  split.services.push_back({ServiceName("desk"), 3});
  ServiceRule llm;
  llm.name = ServiceName("llm");
  llm.engine_slots = 8;
  ServiceRule desk;
  desk.name = ServiceName("desk");
  CustomerRule customer;
  customer.name = CustomerName("lakhon");
  customer.keys = {"key-a"};
  customer.priority = 2;
  customer.residency = Residency({RegionName("north"), RegionName("south")});
  RouteRule north = Route("north", "/north/", "llm");
  north.residency = Residency({RegionName("north"), RegionName("east")});
  RouteRule east = Route("east", "/east/", "llm");
  east.residency = Residency({RegionName("east")});
  return ServiceMap(7,
                    {Route("stream", "/stream/", "llm"), open, split,
                     Route("lost", "/lost/", "nowhere"), north, east},
                    {llm, desk}, {{customer}}, {});
}

struct Fixture {
  Fixture() : map(Map()) {
    request.begun = Instant(std::chrono::seconds(100));
    request.head.headers = {{"Host", "api.example:8080"}};
    dialect.facts.id = RequestId("r-1");
    dialect.facts.key = "key-a";
    dialect.facts.prompt_tokens = 100;
    dialect.facts.max_output_tokens = 30;
    dialect.facts.parts = {{1, 60}, {2, 40}};
  }

  std::optional<RelayCause> AdmitTo(const std::string& target,
                                    double draw = 0) {
    request.head.target = target;
    admission = {};
    return Admit({&map, dialect, request, draw}, admission);
  }
  Duration Time() const { return admission.deadline - request.begun; }

  const ServiceMap map;
  FixedDialect dialect;
  CallerRequest request;
  Admission admission;
};

BOOST_FIXTURE_TEST_CASE(AnEngineRequestIsAdmittedWithItsWorstCase, Fixture) {
  BOOST_TEST(!AdmitTo("/stream/x?y=1"));
  BOOST_TEST(admission.route->name == "stream");
  BOOST_TEST(admission.service->name.value == "llm");
  BOOST_TEST(admission.customer.value == "lakhon");
  BOOST_TEST(admission.customer_priority == 2);
  BOOST_TEST(admission.worst_case == 130);
  BOOST_TEST(admission.placement.service.value == "llm");
  BOOST_TEST(admission.placement.prompt_tokens == 100);
  BOOST_TEST(admission.placement.parts.size() == 2U);
}

// Guards against a customer whose requests cost nothing once their route is
// moved to a service without an engine.
BOOST_FIXTURE_TEST_CASE(APlainServiceDrawsOnTheBudgetForTheTokens, Fixture) {
  BOOST_TEST(!AdmitTo("/split/x", 0.9));
  BOOST_TEST(admission.service->name.value == "desk");
  BOOST_TEST(admission.customer.value == "lakhon");
  BOOST_TEST(admission.worst_case == 130);
  BOOST_TEST(!admission.placement.ForEngine());
}

BOOST_FIXTURE_TEST_CASE(ARequestWithoutTokensDrawsOnNoBudget, Fixture) {
  dialect.facts.prompt_tokens = 0;
  dialect.facts.max_output_tokens = 0;
  BOOST_TEST(!AdmitTo("/split/x", 0.9));
  BOOST_TEST(admission.worst_case == 0);
  BOOST_TEST(!admission.placement.ForEngine());
}

BOOST_FIXTURE_TEST_CASE(AnOpenRouteDrawsOnNobodysBudget, Fixture) {
  BOOST_TEST(!AdmitTo("/open/x"));
  BOOST_TEST(!admission.placement.ForEngine());
  // The route needs no key, so the request's key isn't looked up.
  BOOST_TEST(admission.customer.empty());
}

// A request to an engine that states no prompt size is still placed on an
// engine.
BOOST_FIXTURE_TEST_CASE(AnEngineRequestIsPlacedAsSuchWithoutTokens, Fixture) {
  dialect.facts.prompt_tokens = 0;
  dialect.facts.max_output_tokens = 0;
  BOOST_TEST(!AdmitTo("/stream/x"));
  BOOST_TEST(admission.worst_case == 0);
  BOOST_TEST(admission.placement.ForEngine());
}

BOOST_FIXTURE_TEST_CASE(TheDrawChoosesAmongARoutesServices, Fixture) {
  BOOST_TEST(!AdmitTo("/split/x", 0.1));
  BOOST_TEST(admission.service->name.value == "llm");
  BOOST_TEST(!AdmitTo("/split/x", 0.9));
  BOOST_TEST(admission.service->name.value == "desk");
}

BOOST_FIXTURE_TEST_CASE(TheDeadlineIsTheShorterLimitLessAMargin, Fixture) {
  AdmitTo("/open/x");
  BOOST_TEST((Time() == milliseconds(3985)));
  dialect.facts.time_left = milliseconds(600);
  AdmitTo("/open/x");
  BOOST_TEST((Time() == milliseconds(585)));
  dialect.facts.time_left = milliseconds(9000);
  AdmitTo("/open/x");
  BOOST_TEST((Time() == milliseconds(3985)));
}

BOOST_FIXTURE_TEST_CASE(WhatIsRefusedHasItsCause, Fixture) {
  const auto refused = [&](const std::string& target, RelayCause cause) {
    return AdmitTo(target) == cause;
  };
  BOOST_TEST(refused("/elsewhere/x", RelayCause::kNoRoute));
  BOOST_TEST(admission.facts.id.value == "r-1");
  BOOST_TEST(refused("/lost/x", RelayCause::kNoTarget));
  BOOST_TEST(admission.route->name == "lost");
  dialect.facts.key = "key-b";
  BOOST_TEST(refused("/stream/x", RelayCause::kUnknownKey));
  BOOST_TEST(admission.route->name == "stream");
  BOOST_TEST(admission.customer.empty());
  BOOST_TEST(!AdmitTo("/open/x"));
  dialect.facts.id = {};
  BOOST_TEST(refused("/open/x", RelayCause::kMalformed));
  dialect.unreadable = true;
  BOOST_TEST(refused("/open/x", RelayCause::kMalformed));
}

BOOST_FIXTURE_TEST_CASE(RegionsOfRouteAndCustomerBothBind, Fixture) {
  BOOST_TEST(!AdmitTo("/stream/x"));
  BOOST_TEST(admission.placement.residency.Allows(RegionName("south")));
  BOOST_TEST(!admission.placement.residency.Allows(RegionName("east")));
  BOOST_TEST(!AdmitTo("/north/x"));
  BOOST_TEST(admission.placement.residency.Allows(RegionName("north")));
  BOOST_TEST(!admission.placement.residency.Allows(RegionName("south")));
  // An open route looks up no customer, so it has no customer's regions.
  BOOST_TEST(!AdmitTo("/open/x"));
  BOOST_TEST((admission.placement.residency == Residency()));
}

BOOST_FIXTURE_TEST_CASE(WithoutACommonRegionItIsRefusedAtOnce, Fixture) {
  BOOST_TEST((AdmitTo("/east/x") == RelayCause::kOutsideResidency));
  BOOST_TEST(admission.route->name == "east");
}

BOOST_FIXTURE_TEST_CASE(ForAnotherHostThereIsNoRoute, Fixture) {
  request.head.headers = {{"Host", "other.example"}};
  BOOST_TEST((AdmitTo("/open/x") == RelayCause::kNoRoute));
  request.head.headers.clear();
  BOOST_TEST((AdmitTo("/open/x") == RelayCause::kNoRoute));
}

BOOST_FIXTURE_TEST_CASE(WithoutAConfigurationNothingIsAdmitted, Fixture) {
  const auto refused = Admit({nullptr, dialect, request, 0}, admission);
  BOOST_TEST((refused == RelayCause::kNoConfiguration));
}

BOOST_FIXTURE_TEST_CASE(AStopTakesWhatEndsInTime, Fixture) {
  BOOST_REQUIRE(!AdmitTo("/stream/x"));
  const Instant deadline = admission.deadline;
  BOOST_TEST(!Admit({&map, dialect, request, 0, deadline}, admission));
  const auto refused =
      Admit({&map, dialect, request, 0, deadline - milliseconds(1)}, admission);
  BOOST_TEST((refused == RelayCause::kStopped));
  BOOST_TEST(admission.facts.id.value == "r-1");
}

// Guards against an empty key that is some customer's, and a key that is two
// customers'.
BOOST_FIXTURE_TEST_CASE(AKeyInDoubtIsRefusedAsSuch, Fixture) {
  CustomerRule a;
  a.name = CustomerName("a");
  a.keys = {"", "shared", "own"};
  CustomerRule b;
  b.name = CustomerName("b");
  b.keys = {"shared"};
  RouteRule broken = Route("broken", "/broken/", "desk");
  broken.is_unreadable = true;
  ServiceRule desk;
  desk.name = ServiceName("desk");
  const ServiceMap doubted(8, {Route("r", "/r/", "desk"), broken}, {desk},
                           {{a, b}}, {});
  const auto admit = [&](const char* key, const char* target) {
    dialect.facts.key = key;
    request.head.target = target;
    admission = {};
    return Admit({&doubted, dialect, request, 0}, admission);
  };
  BOOST_TEST((admit("", "/r/") == RelayCause::kUnknownKey));
  BOOST_TEST((admit("nobody", "/r/") == RelayCause::kUnknownKey));
  BOOST_TEST((admit("shared", "/r/") == RelayCause::kConfigurationInDoubt));
  BOOST_TEST((admit("own", "/broken/") == RelayCause::kConfigurationInDoubt));
  BOOST_TEST(!admit("own", "/r/"));
}

// Guards against a request that is sent by a configuration which has taken its
// key away, moved it, or closed its route meanwhile.
BOOST_FIXTURE_TEST_CASE(ALaterConfigurationMayRefuseWhatWasAdmitted, Fixture) {
  const auto later = [](const char* name, const char* key, bool opens) {
    RouteRule stream = Route("stream", "/stream/", "llm");
    stream.open_to_all = opens;
    CustomerRule customer;
    customer.name = CustomerName(name);
    customer.keys = {key};
    return ServiceMap(8, {stream, Route("open", "/open/", "desk")}, {},
                      {{customer}}, {});
  };
  const auto refusal = [&](const ServiceMap& it) {
    return RefusalByLater(it, request.head, admission);
  };
  BOOST_REQUIRE(!AdmitTo("/stream/x"));
  BOOST_TEST(!refusal(later("lakhon", "key-a", false)));
  BOOST_TEST(
      (refusal(later("lakhon", "key-b", false)) == RelayCause::kUnknownKey));
  BOOST_TEST((refusal(later("zellij", "key-a", false)) ==
              RelayCause::kConfigurationInDoubt));
  BOOST_TEST(!refusal(later("zellij", "key-b", true)));
  BOOST_TEST(!refusal(ServiceMap(8, {}, {}, std::nullopt, {})));
  // A route that has gone keeps what it admitted, and its key counts.
  BOOST_TEST(!refusal(ServiceMap(8, {}, {}, map.customers(), {})));
  BOOST_TEST((refusal(ServiceMap(8, {}, {}, std::vector<CustomerRule>(), {})) ==
              RelayCause::kUnknownKey));
  // The route was open to all, and isn't any more.
  dialect.facts.key = "";
  BOOST_REQUIRE(!AdmitTo("/open/x"));
  BOOST_TEST(
      (refusal(later("lakhon", "key-a", false)) == RelayCause::kUnknownKey));
  dialect.facts.key = "key-a";
  BOOST_REQUIRE(!AdmitTo("/open/x"));
  BOOST_TEST((refusal(later("lakhon", "key-a", false)) ==
              RelayCause::kConfigurationInDoubt));
}

}  // namespace
}  // namespace quaytrack
