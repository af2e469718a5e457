#include "plantaindale/base/log_event.h"

#include <memory>
#include <mutex>

#include <poll.h>
#include <unistd.h>

#include "plantaindale/base/log_rate_limiter.h"
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace plantaindale {
namespace {

constexpr char kLoggerName[] = "plantaindale";
constexpr char kLinePattern[] = "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";

bool gStarted = false;

// Shared by the threads of the process.
std::mutex gRateLimiterMutex;
log_rate_limiter gRateLimiter;

// Whether standard output accepts a line without blocking on a slow log reader.
bool
IsWritable()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

log4cplus::LogLevel
LibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" \"\n\r\t=") != aValue.npos;
}

} // namespace

void
StartLogging(std::string_view aProcessName)
{
  static log4cplus::Initializer sInitializer;
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(false, true));
  appender->setName(std::string(aProcessName));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern));
  log4cplus::Logger logger = log4cplus::Logger::getInstance(kLoggerName);
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  logger.addAppender(appender);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  gStarted = true;
}

log_event::log_event(std::string_view aEvent, log_level aLevel)
  : mEvent(aEvent)
  , mLevel(aLevel)
{
  Append("event", aEvent);
}

log_event::~log_event()
{
  if (!gStarted) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(gRateLimiterMutex);
    const auto suppressed = gRateLimiter.TryAcquire(mEvent, boot_clock::now());
    if (!suppressed) {
      return;
    }
    if (!IsWritable()) {
      gRateLimiter.CountDropped(mEvent, *suppressed);
      return;
    }
    if (*suppressed > 0) {
      With("left_out", *suppressed);
    }
  }
  log4cplus::Logger logger = log4cplus::Logger::getInstance(kLoggerName);
  logger.log(LibraryLevel(mLevel), mLine);
}

void
log_event::Append(std::string_view aKey, std::string_view aValue)
{
  if (!mLine.empty()) {
    mLine += ' ';
  }
  mLine += aKey;
  mLine += '=';
  if (!NeedsQuotes(aValue)) {
    mLine += aValue;
    return;
  }
  mLine += '"';
  for (char character : aValue) {
    if (character == '"' || character == '\\') {
      mLine += '\\';
    }
    mLine += (character == '\n' || character == '\r') ? ' ' : character;
  }
  mLine += '"';
}

} // namespace plantaindale
