// Connects a plain socket to a node, for tests that choose the bytes
// themselves.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

#include "plantaindale/net/endpoint.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale::sessions {

// Returns the connected socket, which the caller closes. `aAddress` is IP:PORT.
inline int
ConnectTo(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint->port());
  inet_pton(
    AF_INET, endpoint->address().to_string().c_str(), &address.sin_addr);
  const int connected =
    connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  BOOST_REQUIRE_EQUAL(connected, 0);
  return connection;
}

} // namespace plantaindale::sessions
