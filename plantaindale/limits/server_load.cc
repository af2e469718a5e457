#include "plantaindale/limits/server_load.h"

#include <array>
#include <charconv>

namespace plantaindale {
namespace {

constexpr int kMaxSlots = 65536;
constexpr int kMaxWaiting = 1'000'000;
// Connections being made may hold slots beside requests.
constexpr int kMaxRunningPerSlot = 2;
constexpr int kMinSlownessPercent = 10;
constexpr int kMaxSlownessPercent = 10'000;

// Takes the digits up to the next comma off the front of `aRest`.
std::optional<int>
TakeNumber(std::string_view& aRest)
{
  const std::string_view digits = aRest.substr(0, aRest.find(','));
  int number = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  const bool is_number =
    parsed.ec == std::errc() && parsed.ptr == end && digits.front() != '-';
  if (!is_number) {
    return std::nullopt;
  }
  aRest.remove_prefix(digits.size());
  return number;
}

} // namespace

std::optional<server_load>
ParseServerLoad(std::string_view aText)
{
  std::array<int, 4> numbers{ 0, 0, 0, 0 };
  std::size_t count = 0;
  for (std::string_view rest = aText;; rest.remove_prefix(1)) {
    const auto number = TakeNumber(rest);
    if (!number || count == numbers.size()) {
      return std::nullopt;
    }
    numbers[count++] = *number;
    if (rest.empty()) {
      break;
    }
  }
  const auto [running, waiting, slots, percent] = numbers;
  const bool tells_slowness = count == numbers.size();
  const bool is_possible_slowness =
    !tells_slowness ||
    (percent >= kMinSlownessPercent && percent <= kMaxSlownessPercent);
  const bool is_possible = count >= 3 && slots > 0 && slots <= kMaxSlots &&
                           running <= slots * kMaxRunningPerSlot &&
                           waiting <= kMaxWaiting && is_possible_slowness;
  if (!is_possible) {
    return std::nullopt;
  }
  return server_load{ running, waiting, slots, percent / 100.0 };
}

} // namespace plantaindale
