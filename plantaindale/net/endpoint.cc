#include "plantaindale/net/endpoint.h"

#include <charconv>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"

namespace plantaindale {

absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const absl::Status malformed =
    MakeError(absl::StatusCode::kInvalidArgument,
              "parse_address",
              aText,
              "expected IP:PORT, such as 127.0.0.1:8001");
  const std::size_t colon = aText.rfind(':');
  if (colon == aText.npos) {
    return malformed;
  }
  boost::system::error_code error;
  const auto address =
    boost::asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  std::uint16_t port = 0;
  const std::string_view digits = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool is_complete = parsed.ptr == digits.data() + digits.size();
  if (error || parsed.ec != std::errc() || !is_complete) {
    return malformed;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

absl::StatusOr<boost::asio::ip::udp::endpoint>
ParseUdpEndpoint(std::string_view aText)
{
  auto endpoint = ParseEndpoint(aText);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  return boost::asio::ip::udp::endpoint(endpoint->address(), endpoint->port());
}

std::string
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  return absl::StrCat(aEndpoint.address().to_string(), ":", aEndpoint.port());
}

} // namespace plantaindale
