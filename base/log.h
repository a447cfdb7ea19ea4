// Logging with log4cxx: writes one numbered event per line, as text or JSON, to
// standard error.
//
//   SetUpLog(LogFormat::kText, LogLevel::kInfo);       // once, at the start
//   LogEvent(Event::kTargetLeaving, {{"target", name}, {"by", "vm_list"}});
//
// prints   2026-12-02T09:30:00.125Z INFO QT1301 target_leaving target=e-1
//          by=vm_list                                          (on one line)
//
// Times are UTC with milliseconds. Values that could be read as another field
// or line are quoted, so that a caller's text can't forge one.
//
// Logging never blocks: if the log's reader is slow, lines are dropped and
// counted (base/log_sink.h). The process has one log, and only the event loop's
// thread may use it.

#ifndef QUAYTRACK_BASE_LOG_H_
#define QUAYTRACK_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/enum_table.h"
#include "base/events.h"

namespace quaytrack {

enum class LogFormat { kText, kJson };

template <>
struct EnumTable<LogFormat> {
  static constexpr auto kEntries = std::to_array<EnumEntry<LogFormat>>(
      {{LogFormat::kText, "text"}, {LogFormat::kJson, "json"}});
};

template <>
struct EnumTable<LogLevel> {
  static constexpr auto kEntries =
      std::to_array<EnumEntry<LogLevel>>({{LogLevel::kDebug, "debug"},
                                          {LogLevel::kInfo, "info"},
                                          {LogLevel::kWarn, "warn"},
                                          {LogLevel::kError, "error"}});
};

// An input of the decision that is logged, or its result. The name ends in the
// unit, as in "age_ms".
struct LogField {
  std::string_view name;
  std::string value;
};

// Formats the value of a field whose name ends in "_ms".
inline std::string MillisecondsText(Duration d) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

// Formats a time as the log's lines do, without the milliseconds.
std::string TimeText(WallTime time);

// Sends events of `level` and above to standard error, which this call makes
// non-blocking. Call this once, before the first event.
void SetUpLog(LogFormat format, LogLevel level);

// Number of lines dropped since the process started because the log's reader
// was slow.
std::uint64_t LogLinesDropped();

// Whether an event is printed; lets hot paths skip building fields.
bool LogEnabled(Event event);

// Prints the event with its fields in this order, if its level is enabled.
void LogEvent(Event event, std::initializer_list<LogField> fields);

}  // namespace quaytrack

#endif  // QUAYTRACK_BASE_LOG_H_
