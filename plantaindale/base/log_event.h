// log_event writes one log line of key=value pairs for an event.
//
//   log_event("lease_lapsed").With("node", name).With("for_ms", 120);
//   // event=lease_lapsed node=n1 for_ms=120
#pragma once

#include <string>
#include <string_view>
#include <type_traits>

#include "absl/strings/str_cat.h"

namespace plantaindale {

enum class log_level
{
  kInfo,
  kWarning,
  kError
};

// Sets up the logger of this process, which writes lines to standard output,
// prefixed with time and level. Call once, before the first event; events
// before are discarded. Logging never blocks: lines that cannot be written
// immediately or that exceed the rate limit of their event are suppressed and
// counted.
void
StartLogging(std::string_view aProcessName);

// Collects the pairs of one event. The destructor writes the line. An object is
// not thread-safe, but lines of several threads are not interleaved.
class log_event
{
public:
  explicit log_event(std::string_view aEvent,
                     log_level aLevel = log_level::kInfo);
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;
  ~log_event();

  template<class value_type>
  log_event& With(std::string_view aKey, const value_type& aValue)
  {
    if constexpr (std::is_convertible_v<const value_type&, std::string_view>) {
      Append(aKey, aValue);
    } else {
      Append(aKey, absl::StrCat(aValue));
    }
    return *this;
  }

private:
  // Quotes empty values and values with spaces, quotes, line breaks or `=`.
  void Append(std::string_view aKey, std::string_view aValue);

  std::string mEvent;
  std::string mLine;
  log_level mLevel;
};

} // namespace plantaindale
