// The base of all stand-ins: one loop, one HTTP server on two addresses (for
// the service and for controls), and the line that prints these addresses.
//
// A stand-in replaces a platform service or a target in tests and demos. It
// speaks the published protocol, records what it did, and fails on command:
//
//   POST /control/<what>?name=value&...

#ifndef QUAYTRACK_TESTING_STANDIN_H_
#define QUAYTRACK_TESTING_STANDIN_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/enum_table.h"
#include "evhttp/http_server.h"
#include "net/loop.h"

namespace quaytrack {

using ExchangePtr = std::shared_ptr<HttpExchange>;

// Query parameters of a request.
class Params {
 public:
  explicit Params(const std::string& query);
  std::string Text(const std::string& name) const;
  int Number(const std::string& name, int fallback) const;

 private:
  std::map<std::string, std::string> values_;
};

class Standin {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  using Control = std::function<void(const Params&)>;

  Standin();

  Loop& loop() { return loop_; }
  Instant Now() const { return clock_.Now(); }
  const Clock& clock() const { return clock_; }

  // Handlers of exact paths take precedence over those of prefixes.
  void OnPath(const std::string& path, Handler handler);
  void OnPrefix(const std::string& prefix, Handler handler);
  // Runs `action` once, after `ms` milliseconds.
  void Later(int ms, std::function<void()> action);
  // Adds a control, "/control/<what>", which runs `action` and answers "{}".
  void OnControl(const std::string& what, const Control& action);

  // Binds both addresses, prints them, and serves until SIGTERM.
  int Run(const std::string& listen, const std::string& admin);

 private:
  void Handle(const ExchangePtr& exchange);

  SystemClock clock_;
  Loop loop_;
  HttpServer server_;
  std::map<std::string, Handler> paths_;
  std::map<std::string, Handler> prefixes_;
  std::list<std::unique_ptr<Timer>> later_;
};

// Sets `mode` to the value that the query's "mode" names; false if the table
// has no such name.
template <class Table, class Mode>
bool SetMode(const Params& params, const Table& table, Mode& mode) {
  const std::string name = params.Text("mode");
  for (const auto& it : table) {
    if (it.name != name) continue;
    mode = it.value;
    return true;
  }
  return false;
}

void ReplyJson(const ExchangePtr& exchange, const std::string& json);

}  // namespace quaytrack

#endif  // QUAYTRACK_TESTING_STANDIN_H_
