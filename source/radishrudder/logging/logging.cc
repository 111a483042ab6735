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

constexpr bool kLogToStandardError = true;
constexpr bool kFlushAfterEachRecord = true;
// Layout of a line: UTC time with milliseconds, level, record.
constexpr char kLayoutPattern[] = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";
constexpr char kLoggerName[] = "radishrudder";
constexpr unsigned char kFirstPrintableCharacter = 0x20;

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

bool IsUnambiguousUnquoted(std::string_view value) {
  for (const char character : value) {
    if (static_cast<unsigned char>(character) <= kFirstPrintableCharacter ||
        character == '"' || character == '=' || character == '\\') {
      return false;
    }
  }
  return !value.empty();
}

void AppendEscaped(char character, std::string& text) {
  if (character == '"' || character == '\\') {
    text += '\\';
    text += character;
  } else if (static_cast<unsigned char>(character) < kFirstPrintableCharacter) {
    char escape[8];
    std::snprintf(escape, sizeof(escape), "\\u%04x",
                  static_cast<unsigned>(character));
    text += escape;
  } else {
    text += character;
  }
}

// Appends a value, quoted and escaped if the record would otherwise be
// ambiguous.
void AppendValue(std::string_view value, std::string& text) {
  if (IsUnambiguousUnquoted(value)) {
    text += value;
    return;
  }
  text += '"';
  for (const char character : value) {
    AppendEscaped(character, text);
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

// Appends to standard output, which it makes non-blocking, so that a slow
// reader never delays the process. Output that the reader has not yet taken is
// kept in a bounded buffer.
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
    if (m_dropped_records > 0 && m_pending.empty()) {
      m_pending = std::to_string(kLogRecordsDropped.number) + " " +
                  std::string(kLogRecordsDropped.name) +
                  " records=" + std::to_string(m_dropped_records) + "\n";
      m_dropped_records = 0;
    }
    log4cplus::tstring& record = formatEvent(event);
    if (m_pending.size() + record.size() > kMaximumPendingBytes) {
      ++m_dropped_records;
      return;
    }
    m_pending += record;
    Flush();
  }

 private:
  static constexpr std::size_t kMaximumPendingBytes = 64U << 10U;

  // Writes as much of the buffer as standard output takes now.
  void Flush() {
    while (!m_pending.empty()) {
      const ssize_t written =
          ::write(STDOUT_FILENO, m_pending.data(), m_pending.size());
      if (written <= 0) {
        return;
      }
      m_pending.erase(0, static_cast<std::size_t>(written));
    }
  }

  std::string m_pending;
  std::uint64_t m_dropped_records = 0;
};

log4cplus::Logger RecordLogger() {
  return log4cplus::Logger::getInstance(kLoggerName);
}

}  // namespace

void Initialize(std::string_view program,
                Level minimum_level,
                Destination destination) {
  static log4cplus::Initializer initializer;
  log4cplus::Logger logger = RecordLogger();
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  log4cplus::SharedAppenderPtr appender;
  if (destination == Destination::kStandardOutput) {
    appender = new NonBlockingAppender;
  } else {
    appender = new log4cplus::ConsoleAppender(kLogToStandardError,
                                              kFlushAfterEachRecord);
  }
  appender->setName(std::string(program));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(kLayoutPattern));
  logger.addAppender(appender);
  logger.setLogLevel(ToLogLevel(minimum_level));
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
