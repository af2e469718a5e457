#include "plantaindale/request/server_report.h"

#include <cmath>

#include "absl/strings/numbers.h"

namespace plantaindale {
namespace {

constexpr std::string_view kTrue = "1";

} // namespace

server_report
ReadServerReport(std::string_view aRateLimit,
                 std::string_view aLeaving,
                 std::string_view aLoad)
{
  server_report report;
  report.mLoad = ParseServerLoad(aLoad);
  report.mIsLeaving = aLeaving == kTrue;
  if (aRateLimit.empty()) {
    return report;
  }
  double rate = 0;
  const bool is_number =
    absl::SimpleAtod({ aRateLimit.data(), aRateLimit.size() }, &rate);
  if (is_number && std::isfinite(rate) && rate >= 0) {
    report.mRateLimit = rate;
  } else {
    report.mIsRateLimitMalformed = true;
  }
  return report;
}

} // namespace plantaindale
