// Addresses in text: `127.0.0.1:8001`. Numbers only; no names are looked up.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace plantaindale {

// Reads `IP:PORT`.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

// The same for UDP.
absl::StatusOr<boost::asio::ip::udp::endpoint>
ParseUdpEndpoint(std::string_view aText);

// Writes `IP:PORT`.
std::string
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace plantaindale
