// grant_binding says to which start of a backend server, by which incarnation
// of the node and over which connection grants are sent, and makes their
// fencing tokens.
//
//   grant_binding binding(server, node);
//   binding.AddConnection();   // a connection was opened
//   std::optional<std::int64_t> token = binding.Token(fence);
//
// A call reaches an address, not a start: after a reconnect, another process
// may be at the other end. A connection can't change its process. So each
// connection has a number, which is part of the token, and a process that was
// reached by a reconnect gets higher tokens than any process before it.
#pragma once

#include <cstdint>
#include <optional>

#include "plantaindale/base/node_identity.h"
#include "plantaindale/membership/node_record.h"

namespace plantaindale {

// A plain value: performs no I/O.
class grant_binding
{
public:
  static constexpr int kConnectionBits = 12;
  static constexpr int kMaxConnections = (1 << kConnectionBits) - 1;

  grant_binding(announced_server aServer, node_identity aNode);

  const announced_server& Server() const { return mServer; }
  const node_identity& Node() const { return mNode; }
  // Whether both are for the same start of the server and the same incarnation.
  bool IsSameStart(const grant_binding& aOther) const;
  // Takes over the number of the last connection if `aEarlier` is of the same
  // incarnation, whose numbers are never used twice.
  void ContinueFrom(const grant_binding& aEarlier);
  // A connection to the server's address was opened, which all tokens are for
  // from now on.
  void AddConnection();
  int Connection() const { return mConnection; } // 0: none
  // The incarnation has no number left for its connections.
  bool IsUsedUp() const { return mConnection > kMaxConnections; }
  // The token for shards whose highest epoch is `aFence`; none without a
  // connection, if the numbers are used up, or if the token would not be exact
  // in all JSON parsers.
  std::optional<std::int64_t> Token(std::int64_t aFence) const;

private:
  announced_server mServer;
  node_identity mNode;
  int mConnection = 0;
};

} // namespace plantaindale
