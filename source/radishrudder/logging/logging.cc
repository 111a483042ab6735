#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <utility>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "radishrudder/logging/events.h"

namespace radishrudder::logging {
namespace {

constexpr bool kToStandardError = true;
constexpr bool kFlushEachRecord = true;
constexpr char kPattern[] = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";
constexpr char kLoggerName[] = "radishrudder";
constexpr unsigned char kFirstPrintable = 0x20;

std::atomic<bool> g_initialized{false};

log4cplus::LogLevel ToLogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool IsPlain(std::string_view value) {
  for (const char letter : value) {
    if (static_cast<unsigned char>(letter) <= kFirstPrintable ||
        letter == '"' || letter == '=' || letter == '\\') {
      return false;
    }
  }
  return !value.empty();
}

void AppendEscaped(char letter, std::string& text) {
  if (letter == '"' || letter == '\\') {
    text += '\\';
    text += letter;
  } else if (static_cast<unsigned char>(letter) < kFirstPrintable) {
    char escape[8];
    std::snprintf(escape, sizeof(escape), "\\u%04x",
                  static_cast<unsigned>(letter));
    text += escape;
  } else {
    text += letter;
  }
}

// Quotes values that would make the record ambiguous.
void AppendValue(std::string_view value, std::string& text) {
  if (IsPlain(value)) {
    text += value;
    return;
  }
  text += '"';
  for (const char letter : value) {
    AppendEscaped(letter, text);
  }
  text += '"';
}

std::string FormatRecord(const Event& event,
                         std::initializer_list<Field> fields) {
  std::string text = std::to_string(event.number) + " ";
  text += event.name;
  for (const Field& field : fields) {
    text += ' ';
    text += field.name;
    text += '=';
    AppendValue(field.value, text);
  }
  return text;
}

// Appends to standard output without ever waiting for its reader.
class NonBlockingAppender : public log4cplus::Appender {
 public:
  NonBlockingAppender() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~NonBlockingAppender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    Flush();
    if (m_dropped > 0 && m_waiting.empty()) {
      m_waiting = std::to_string(kLogRecordsDropped.number) + " " +
                  std::string(kLogRecordsDropped.name) +
                  " records=" + std::to_string(m_dropped) + "\n";
      m_dropped = 0;
    }
    log4cplus::tstring& record = formatEvent(event);
    if (m_waiting.size() + record.size() > kMaximumWaiting) {
      ++m_dropped;
      return;
    }
    m_waiting += record;
    Flush();
  }

 private:
  static constexpr std::size_t kMaximumWaiting = 64U << 10U;

  void Flush() {
    while (!m_waiting.empty()) {
      const ssize_t written =
          ::write(STDOUT_FILENO, m_waiting.data(), m_waiting.size());
      if (written <= 0) {
        return;
      }
      m_waiting.erase(0, static_cast<std::size_t>(written));
    }
  }

  std::string m_waiting;
  std::uint64_t m_dropped = 0;
};

log4cplus::Logger RecordLogger() {
  return log4cplus::Logger::getInstance(kLoggerName);
}

}  // namespace

void Initialize(std::string_view program,
                Level least,
                Destination destination) {
  static log4cplus::Initializer initializer;
  log4cplus::Logger logger = RecordLogger();
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  log4cplus::SharedAppenderPtr appender;
  if (destination == Destination::kStandardOutput) {
    appender = new NonBlockingAppender;
  } else {
    appender =
        new log4cplus::ConsoleAppender(kToStandardError, kFlushEachRecord);
  }
  appender->setName(std::string(program));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  logger.addAppender(appender);
  logger.setLogLevel(ToLogLevel(least));
  g_initialized = true;
}

void Log(const Event& event, std::initializer_list<Field> fields) {
  if (!g_initialized) {
    return;
  }
  const log4cplus::LogLevel level = ToLogLevel(event.level);
  const log4cplus::Logger logger = RecordLogger();
  if (logger.isEnabledFor(level)) {
    logger.log(level, FormatRecord(event, fields));
  }
}

}  // namespace radishrudder::logging
