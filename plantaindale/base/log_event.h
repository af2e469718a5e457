// log_event writes one line of key=value pairs for one event.
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

// Prepares the logger of this process: lines go to standard output, with time
// and level in front. Call once, before the first event. Nobody waits for the
// log: lines that can't be written at once, and those of a flood of one event,
// are left out and counted.
void
StartLogging(std::string_view aProcessName);

// Gathers the pairs of one event; the line is written when it goes out of
// scope. Not thread-safe itself; lines of several threads do not mix.
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
  // Quotes values that hold spaces, quotes or line ends.
  void Append(std::string_view aKey, std::string_view aValue);

  std::string mEvent;
  std::string mLine;
  log_level mLevel;
};

} // namespace plantaindale
