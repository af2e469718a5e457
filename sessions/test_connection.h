// Connects a plain socket to a node, for tests that choose the bytes
// themselves.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

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

// Returns everything received until the node closes the connection,
// and closes it here, too.
inline std::string
ReadToEnd(int aConnection)
{
  std::string answer;
  char buffer[4096];
  ssize_t got = 0;
  while ((got = read(aConnection, buffer, sizeof(buffer))) > 0) {
    answer.append(buffer, static_cast<std::size_t>(got));
  }
  close(aConnection);
  return answer;
}

} // namespace plantaindale::sessions
