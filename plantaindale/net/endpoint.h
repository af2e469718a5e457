// Conversion of addresses to and from text such as `127.0.0.1:8001`. Only
// numeric addresses are supported; no names are resolved.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace plantaindale {

// Parses `IP:PORT` as a TCP endpoint.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

// Parses `IP:PORT` as a UDP endpoint.
absl::StatusOr<boost::asio::ip::udp::endpoint>
ParseUdpEndpoint(std::string_view aText);

// Returns `IP:PORT`.
std::string
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace plantaindale
