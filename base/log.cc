#include "base/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_sink.h"

namespace quaytrack {
namespace {

LogFormat g_format = LogFormat::kText;
LogLevel g_level = LogLevel::kInfo;

const log4cxx::LoggerPtr& Logger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("quaytrack");
  return kLogger;
}

const EventInfo& InfoOf(Event event) {
  for (const EventInfo& it : kEventCatalogue) {
    if (it.event == event) return it;
  }
  return kEventCatalogue[0];
}

log4cxx::LevelPtr LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string EventNumber(Event event) {
  return "QT" + std::to_string(static_cast<int>(event));
}

std::string AsJson(const EventInfo& info,
                   std::initializer_list<LogField> fields) {
  nlohmann::ordered_json out = {{"event", EventNumber(info.event)},
                                {"name", info.name},
                                {"level", NameOf(info.level)}};
  for (const LogField& it : fields) out[std::string(it.name)] = it.value;
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Values with a space, a quote or a control character are quoted, so that a
// caller's text can't forge a line.
std::string Quoted(const std::string& value) {
  const bool plain = !value.empty() &&
                     value.find_first_of(" \"\\=") == std::string::npos &&
                     value.find_first_of("\r\n\t") == std::string::npos;
  if (plain) return value;
  return nlohmann::json(value).dump(-1, ' ', true,
                                    nlohmann::json::error_handler_t::replace);
}

std::string AsText(const EventInfo& info,
                   std::initializer_list<LogField> fields) {
  std::string out = EventNumber(info.event);
  out += ' ';
  out += info.name;
  for (const LogField& it : fields) {
    out += ' ';
    out += it.name;
    out += '=';
    out += Quoted(it.value);
  }
  return out;
}

// Formats the line that reports dropped lines; the line has no time.
std::string DroppedLine(std::uint64_t lines) {
  const EventInfo& info = InfoOf(Event::kLogDropped);
  const std::string count = std::to_string(lines);
  if (g_format == LogFormat::kJson) {
    return AsJson(info, {{"lines", count}}) + "\n";
  }
  return "WARN " + AsText(info, {{"lines", count}}) + "\n";
}

// Passes formatted lines to the sink, which never blocks.
class SinkAppender final : public log4cxx::AppenderSkeleton {
 public:
  explicit SinkAppender(log4cxx::LayoutPtr layout)
      : layout_(std::move(layout)), sink_(STDERR_FILENO, DroppedLine) {}

  void close() override {}
  bool requiresLayout() const override { return true; }
  std::uint64_t dropped() const { return sink_.dropped(); }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    layout_->format(line, event, pool);
    sink_.Write(line);
  }

 private:
  log4cxx::LayoutPtr layout_;
  LogSink sink_;
};

// log4cxx owns the appender. This pointer is weak, because log4cxx is destroyed
// before static objects of this program would be.
std::weak_ptr<SinkAppender> g_appender;

}  // namespace

std::uint64_t LogLinesDropped() {
  const auto it = g_appender.lock();
  return it ? it->dropped() : 0;
}

std::string TimeText(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

void SetUpLog(LogFormat format, LogLevel level) {
  g_format = format;
  g_level = level;
  // The message of a JSON line includes the level; LogEvent strips the
  // message's opening brace, as the pattern contains one.
  const char* pattern = format == LogFormat::kJson
                            ? "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z\","
                              "%m%n"
                            : "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  const auto appender = std::make_shared<SinkAppender>(layout);
  g_appender = appender;
  log4cxx::Logger::getRootLogger()->removeAllAppenders();
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(LevelOf(level));
}

bool LogEnabled(Event event) { return InfoOf(event).level >= g_level; }

void LogEvent(Event event, std::initializer_list<LogField> fields) {
  const EventInfo& info = InfoOf(event);
  if (info.level < g_level) return;
  const bool json = g_format == LogFormat::kJson;
  const std::string line =
      json ? AsJson(info, fields).substr(1) : AsText(info, fields);
  LOG4CXX_LOG(Logger(), LevelOf(info.level), line);
}

}  // namespace quaytrack
