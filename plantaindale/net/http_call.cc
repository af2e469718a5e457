#include "plantaindale/net/http_call.h"

#include <thread>

#include "absl/strings/match.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/net/http_session.h"

namespace plantaindale {

std::string_view
http_response::Field(std::string_view aName) const
{
  const absl::string_view wanted(aName.data(), aName.size());
  for (const auto& [name, value] : mFields) {
    if (absl::EqualsIgnoreCase(name, wanted)) {
      return value;
    }
  }
  return {};
}

absl::StatusOr<http_response>
HttpCall(boost::asio::io_context& aContext, const http_request& aRequest)
{
  http_request only = aRequest;
  only.mKeepAlive = false;
  return http_session(aContext).Call(only);
}

absl::StatusOr<http_response>
HttpCallBlocking(const http_request& aRequest)
{
  absl::StatusOr<http_response> answer =
    absl::UnknownError("HTTP call was not made");
  // Must outlive the thread, whose fiber scheduler uses it until the thread
  // exits.
  boost::asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    answer = HttpCall(context, aRequest);
  }).join();
  return answer;
}

} // namespace plantaindale
