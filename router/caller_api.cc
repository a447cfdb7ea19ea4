#include "router/caller_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace quaytrack {
namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::ordered_json;

constexpr std::string_view kServicePrefix = "/svc/";

leaf::result<void> NeedMethod(const HttpExchange& exchange,
                              const std::string& method) {
  if (exchange.method() == method) return {};
  return leaf::new_error(Refusal{
      RefusalCode::kNotFound,
      exchange.path() + " takes " + method + ", not " + exchange.method(),
      "method",
      {}});
}

}  // namespace

CallerApi::CallerApi(RouterContext& context, RequestTable& requests,
                     Duration default_deadline)
    : context_(context),
      requests_(requests),
      default_deadline_(default_deadline) {}

void CallerApi::Answer(const ExchangePtr& exchange, const Refusal& refusal) {
  context_.metrics.CountRefusal(refusal.code);
  exchange->Reply(ReplyFor(refusal));
}

void CallerApi::Handle(const ExchangePtr& exchange) {
  if (stopping_) {
    return Answer(exchange, {RefusalCode::kRouterStopping,
                             "this router is stopping; ask another", "",
                             kNotReadyRetryAfter});
  }
  if (!bundle_) {
    return Answer(exchange,
                  {RefusalCode::kNotReady, "this router has no bundle yet", "",
                   kNotReadyRetryAfter});
  }
  leaf::try_handle_all([&] { return Route(exchange); },
                       [&](const Refusal& it) { Answer(exchange, it); },
                       [&] {
                         Answer(exchange, {RefusalCode::kInvalidRequest,
                                           "the request can't be read",
                                           "",
                                           {}});
                       });
}

leaf::result<void> CallerApi::Route(const ExchangePtr& exchange) {
  const std::string path = exchange->path();
  if (path == "/v1/chat/completions") {
    return StartModelCall(exchange, ModelCallKind::kChat);
  }
  if (path == "/v1/completions") {
    return StartModelCall(exchange, ModelCallKind::kCompletion);
  }
  if (path == "/v1/models") return ListModels(exchange);
  if (path.starts_with(kServicePrefix)) {
    return StartServiceCall(exchange, path);
  }
  return leaf::new_error(Refusal{
      RefusalCode::kNotFound, "there is nothing at " + path, "path", {}});
}

leaf::result<void> CallerApi::ListModels(const ExchangePtr& exchange) {
  BOOST_LEAF_CHECK(NeedMethod(*exchange, "GET"));
  BOOST_LEAF_CHECK(ReadHeaders(*exchange, *bundle_));
  Json list = Json::array();
  for (const auto& [name, it] : bundle_->models) {
    list.push_back({{"id", name.value},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", "quaytrack"}});
  }
  const Json out = {{"object", "list"}, {"data", list}};
  exchange->Reply({200, "application/json", {}, out.dump() + "\n"});
  return {};
}

RequestBasics CallerApi::MakeBasics(CallerHeaders headers) {
  RequestBasics out;
  out.request = RequestId(context_.self.value + "-" +
                          std::to_string(++last_request_number_));
  out.arrived = context_.Now();
  out.deadline = out.arrived + (headers.deadline ? Duration(*headers.deadline)
                                                 : default_deadline_);
  const CustomerSetting& customer = bundle_->customers.at(headers.customer);
  out.budget = customer.budget;
  out.customer_weight = customer.weight;
  out.headers = std::move(headers);
  return out;
}

leaf::result<void> CallerApi::StartModelCall(const ExchangePtr& exchange,
                                             ModelCallKind kind) {
  BOOST_LEAF_CHECK(NeedMethod(*exchange, "POST"));
  BOOST_LEAF_AUTO(headers, ReadHeaders(*exchange, *bundle_));
  const std::string body = exchange->Body();
  BOOST_LEAF_AUTO(call, ReadModelCall(kind, body, *bundle_));
  const ModelSetting& model = bundle_->models.at(call.model);
  RequestBasics basics = MakeBasics(std::move(headers));
  basics.group = GroupOf(call.model);
  basics.prefix_hash = call.prefix_hash;
  basics.worst_case = call.WorstCase(model);
  if (!basics.headers.key.empty()) {
    basics.digest = Sha256Hex(exchange->path() + "\n" + body);
  }
  context_.retries.OnNewRequest();
  auto forward = std::make_shared<Forward<ModelJob>>(
      context_, exchange, basics, ModelJob(std::move(call), model));
  requests_.Add(basics.request, forward);
  forward->Start();
  return {};
}

leaf::result<void> CallerApi::StartServiceCall(const ExchangePtr& exchange,
                                               const std::string& path) {
  BOOST_LEAF_AUTO(headers, ReadHeaders(*exchange, *bundle_));
  const std::string rest = path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const ServiceName name(rest.substr(0, slash));
  auto service = bundle_->services.find(name);
  if (service == bundle_->services.end()) {
    return leaf::new_error(Refusal{RefusalCode::kUnknownService,
                                   "no service is called '" + name.value + "'",
                                   "path",
                                   {}});
  }
  ServiceCall call;
  call.method = exchange->method();
  call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  const Repeat repeat = bundle_->RepeatOf(name, call.method, call.path);
  if (!exchange->query().empty()) call.path += "?" + exchange->query();
  call.content_type = exchange->Header("Content-Type").value_or("");
  call.body = exchange->Body();
  RequestBasics basics = MakeBasics(std::move(headers));
  basics.group = GroupOf(name);
  basics.worst_case = service->second.price;
  basics.attempt_timeout = service->second.timeout;
  basics.repeatable =
      repeat == Repeat::kAllowed && !basics.headers.must_not_repeat;
  basics.needs_claim = !basics.repeatable && !basics.headers.key.empty();
  basics.digest =
      Sha256Hex(call.method + " " + path + "\n" + call.path + "\n" + call.body);
  context_.retries.OnNewRequest();
  auto forward = std::make_shared<Forward<ServiceJob>>(
      context_, exchange, basics,
      ServiceJob(std::move(call), service->second.price));
  requests_.Add(basics.request, forward);
  forward->Start();
  return {};
}

}  // namespace quaytrack
