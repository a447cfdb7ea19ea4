// Tests requests from the caller to the target without failures: answers,
// bills, and the refusal of invalid requests.

#include "testing/process/fleet_fixture.h"

namespace quaytrack {
namespace {

struct ServeFixture : FleetFixture {};

BOOST_FIXTURE_TEST_CASE(ServesBillsAndRefuses, ServeFixture) {
  // A stream arrives complete, with its usage, and is billed for it.
  const TestReply stream = fleet.Call(
      fleet.Router(1), RouterFleet::Chat(kLakhon, "hello", 20, true));
  BOOST_TEST(stream.status == 200);
  const ReceivedStream received = ReadStream(stream.body);
  BOOST_TEST(received.text == ExpectedText("hello", 20));
  BOOST_TEST(received.done);
  BOOST_TEST(received.usage);

  // So does an answer that isn't streamed.
  const TestReply plain = fleet.Call(
      fleet.Router(2), RouterFleet::Chat(kLakhon, "again", 5, false));
  BOOST_TEST(plain.status == 200);
  BOOST_TEST(plain.Json()["choices"][0]["message"]["content"] ==
             ExpectedText("again", 5));

  // A request that may cost more than the budget is refused and doesn't run.
  const std::size_t runs = EngineRuns();
  const TestReply over =
      fleet.Call(fleet.Router(1), RouterFleet::Chat(kTiny, "hello", 500, true));
  BOOST_TEST(over.status == 402);
  BOOST_TEST(over.Json()["ran"] == "no");
  BOOST_TEST(over.Json()["error"]["code"] == "budget_exhausted");
  BOOST_TEST(EngineRuns() == runs);

  // After a top-up, it is served.
  std::string output;
  BOOST_TEST(fleet.Command({"budget", "add", "tiny", "2000",
                            "--kv=" + fleet.Process("kv").address},
                           &output) == 0);
  BOOST_TEST(fleet.WaitFor([&] {
    return fleet
               .Call(fleet.Router(1),
                     RouterFleet::Chat(kTiny, "hello", 500, true))
               .status == 200;
  }));
  CheckBills();
}

// Guards against a hold that stays when a request is refused. The budget covers
// only one such request at a time, so the next could not be served.
BOOST_FIXTURE_TEST_CASE(ARefusedRequestGivesItsHoldBack, ServeFixture) {
  const TestRequest chat = RouterFleet::Chat(kTiny, "hello", 30, true);
  const auto set_mode = [&](const std::string& mode) {
    for (int n = 1; n <= fleet.spec().engines; ++n) {
      fleet.Control("engine-" + std::to_string(n), "mode?mode=" + mode);
    }
  };
  set_mode("refuse");
  for (int n = 0; n < 2; ++n) {
    const TestReply refused = fleet.Call(fleet.Router(1), chat);
    BOOST_TEST(refused.Json()["error"]["code"] != "budget_exhausted");
    BOOST_TEST(refused.Json()["ran"] == "no");
  }
  set_mode("normal");
  BOOST_TEST(fleet.Call(fleet.Router(1), chat).status == 200);
  CheckBills();
}

BOOST_FIXTURE_TEST_CASE(CallThatMustNotRepeatRunsOnce, ServeFixture) {
  // A retry at another router right after the answer gets the same answer.
  for (int n = 0; n < 20; ++n) {
    const TestRequest quick = RouterFleet::Service(
        kLakhon, "/sign", "{}", "quick-" + std::to_string(n));
    const TestReply answer = fleet.Call(fleet.Router(1), quick);
    const TestReply retry = fleet.Call(fleet.Router(2), quick);
    BOOST_TEST(retry.status == 200);
    BOOST_TEST(retry.body == answer.body);
  }
  const TestRequest sign =
      RouterFleet::Service(kLakhon, "/sign", "{\"a\":1}", "k1");
  const TestReply first = fleet.Call(fleet.Router(1), sign);
  BOOST_TEST(first.status == 200);
  for (int n = 1; n <= 3; ++n) {
    const TestReply again = fleet.Call(fleet.Router(n), sign);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == first.body);
  }
  BOOST_TEST(ServiceRuns("k1") == 1);
  const TestReply other =
      fleet.Call(fleet.Router(2),
                 RouterFleet::Service(kLakhon, "/sign", "{\"a\":2}", "k1"));
  BOOST_TEST(other.status == 422);
  BOOST_TEST(other.Json()["ran"] == "no");
  BOOST_TEST(ServiceRuns("k1") == 1);
  // The same key of another customer is another call.
  const TestReply other_customer =
      fleet.Call(fleet.Router(2),
                 RouterFleet::Service(kZellij, "/sign", "{\"a\":1}", "k1"));
  BOOST_TEST(other_customer.status == 200);
  BOOST_TEST(ServiceRuns("k1") == 2);
  BOOST_TEST(fleet.WaitFor([&] { return fleet.Bills().size() == 22; }));
}

BOOST_FIXTURE_TEST_CASE(SameKeySentToAllRoutersAtOnceRunsOnce, ServeFixture) {
  fleet.Control("forms-1", "delay?ms=150");
  fleet.Control("forms-2", "delay?ms=150");
  int ended = 0;
  int served = 0;
  int conflicts = 0;
  for (int n = 0; n < 12; ++n) {
    fleet.Begin(fleet.Router(n % 3 + 1),
                RouterFleet::Service(kLakhon, "/sign", "{}", "race"),
                [&](const TestReply& it) {
                  ++ended;
                  if (it.status == 200) ++served;
                  if (it.status == 409) ++conflicts;
                });
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == 12; }));
  BOOST_TEST(ServiceRuns("race") == 1);
  BOOST_TEST(served >= 1);
  BOOST_TEST(served + conflicts == 12);
}

BOOST_FIXTURE_TEST_CASE(ManyCallersGetTheirOwnWholeAnswers, ServeFixture) {
  constexpr int kCallers = 120;
  int ended = 0;
  int right = 0;
  for (int n = 0; n < kCallers; ++n) {
    const std::string prompt = "caller " + std::to_string(n);
    const int tokens = 5 + n % 20;
    fleet.Begin(
        fleet.Router(n % 3 + 1),
        RouterFleet::Chat(n % 2 == 0 ? kLakhon : kZellij, prompt, tokens,
                          n % 3 != 0),
        [&, prompt, tokens](const TestReply& it) {
          ++ended;
          const std::string wanted = ExpectedText(prompt, tokens);
          const ReceivedStream received = ReadStream(it.body);
          const bool streamed = received.done && received.text == wanted;
          const auto json = it.Json();
          const bool plain = json.is_object() && json.contains("choices") &&
                             json["choices"][0]["message"]["content"] == wanted;
          if (streamed || plain) ++right;
        });
  }
  BOOST_TEST(fleet.WaitFor([&] { return ended == kCallers; }));
  BOOST_TEST(right == kCallers);
  CheckBills();
}

struct BadRequest {
  const char* what;
  const char* path;
  const char* body;
  int status;
  const char* field;
};

const BadRequest kBadRequests[] = {
    {"not JSON", "/v1/chat/completions", "{", 400, "body"},
    {"not an object", "/v1/chat/completions", "[]", 400, "body"},
    {"bad UTF-8", "/v1/chat/completions", "{\"model\":\"\xff\xfe\"}", 400,
     "body"},
    {"no model", "/v1/chat/completions", "{}", 400, "model"},
    {"model of wrong type", "/v1/chat/completions", "{\"model\":1}", 400,
     "model"},
    {"unknown model", "/v1/chat/completions", "{\"model\":\"x\"}", 404,
     "model"},
    {"no messages", "/v1/chat/completions", "{\"model\":\"thai-8b\"}", 400,
     "messages"},
    {"empty messages", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[]}", 400, "messages"},
    {"message without role", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"content\":\"a\"}]}", 400,
     "messages[0].role"},
    {"content of wrong type", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"role\":\"user\",\"content\":1}]}",
     400, "messages[0].content"},
    {"negative tokens", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"role\":\"u\",\"content\":\"a\"}],"
     "\"max_tokens\":-1}",
     400, "max_tokens"},
    {"huge tokens", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"role\":\"u\",\"content\":\"a\"}],"
     "\"max_tokens\":18446744073709551615}",
     400, "max_tokens"},
    {"fractional tokens", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"role\":\"u\",\"content\":\"a\"}],"
     "\"max_tokens\":1.5}",
     400, "max_tokens"},
    {"doubled field", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"model\":\"thai-8b\"}", 400, "model"},
    {"stream of wrong type", "/v1/chat/completions",
     "{\"model\":\"thai-8b\",\"messages\":[{\"role\":\"u\",\"content\":\"a\"}],"
     "\"stream\":\"yes\"}",
     400, "stream"},
    {"completion without prompt", "/v1/completions", "{\"model\":\"thai-8b\"}",
     400, "prompt"},
    {"unknown path", "/v1/nothing", "{}", 404, "path"},
    {"unknown service", "/svc/nothing/x", "{}", 404, "path"},
};

BOOST_FIXTURE_TEST_CASE(BadInputNamesItsFieldAndRunsNothing, ServeFixture) {
  for (const BadRequest& it : kBadRequests) {
    TestRequest request = RouterFleet::Chat(kLakhon, "", 1, false);
    request.path = it.path;
    request.body = it.body;
    const TestReply reply = fleet.Call(fleet.Router(1), request);
    BOOST_TEST(reply.status == it.status, it.what);
    const auto error = reply.Json()["error"];
    BOOST_TEST(error["param"] == it.field, it.what << ": " << reply.body);
    BOOST_TEST(reply.Json()["ran"] == "no", it.what);
  }
  const std::string deep(200, '[');
  TestRequest nested = RouterFleet::Chat(kLakhon, "", 1, false);
  nested.body = deep;
  BOOST_TEST(fleet.Call(fleet.Router(1), nested).status == 400);

  const auto with_header = [&](const HttpHeader& header) {
    TestRequest request = RouterFleet::Chat(kLakhon, "x", 1, false);
    if (header.name == "Authorization") request.headers.clear();
    request.headers.push_back(header);
    return fleet.Call(fleet.Router(1), request);
  };
  BOOST_TEST(with_header({"Authorization", "Bearer nobody"}).status == 401);
  BOOST_TEST(with_header({"Authorization", "Basic x"}).status == 401);
  BOOST_TEST(with_header({"Idempotency-Key", ""}).status == 400);
  BOOST_TEST(with_header({"Idempotency-Key", std::string(300, 'k')}).status ==
             400);
  BOOST_TEST(with_header({"X-Deadline-Ms", "-5"}).status == 400);
  BOOST_TEST(with_header({"X-Deadline-Ms", "soon"}).status == 400);
  BOOST_TEST(with_header({"X-Priority", "vip"}).status == 400);

  TestRequest huge = RouterFleet::Chat(kLakhon, "x", 1, false);
  huge.body = std::string(5 * 1024 * 1024, 'x');
  const TestReply refused = fleet.Call(fleet.Router(1), huge);
  BOOST_TEST((refused.status == 413 || refused.end != HttpEnd::kComplete));

  BOOST_TEST(EngineRuns() == 0U);
  BOOST_TEST(fleet.Bills().empty());
  BOOST_TEST(
      fleet.Call(fleet.Router(1), RouterFleet::Chat(kLakhon, "x", 1, false))
          .status == 200);
}

}  // namespace
}  // namespace quaytrack
