// server_presence keeps what the backend server beside a node has said of
// itself. Notices may be late, repeated or of a start of the server that has
// ended; only news changes anything.
//
//   server_presence presence(expected, timing);
//   absl::Status taken = presence.OnNotice(notice, now);
//   if (presence.Server()) { ... }
#pragma once

#include <optional>
#include <string>

#include "absl/status/status.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/node/server_notice.h"

namespace plantaindale {

// The server that belongs beside the node; empty texts: any.
struct expected_server
{
  std::string mService;
  std::string mAddress; // IP:PORT
};

// Pure; belongs to the control thread.
class server_presence
{
public:
  // `aSilence`: without a heartbeat for so long the server is taken for lost;
  // zero: never.
  server_presence(expected_server aExpected, duration aHeartbeatTimeout);

  // Commands.
  // An error says why the notice changes nothing: kInvalidArgument when it
  // isn't of the server beside this node, kAlreadyExists when it is old.
  absl::Status OnNotice(const server_notice& aNotice, instant aNow);
  // What an earlier process of this node had heard, until a heartbeat says
  // more. Changes nothing once a server has told of itself.
  void RestoreServer(const announced_server& aServer, instant aNow);
  // Nothing listens at its address.
  void OnRefused() { mIsServerLost = true; }
  void Step(instant aNow);

  // Queries. None while no server is known to be there.
  std::optional<announced_server> Server() const;

private:
  absl::Status OnHeartbeat(const server_notice& aNotice, instant aNow);
  absl::Status OnLeaving(const server_notice& aNotice);

  expected_server mExpected;
  duration mHeartbeatTimeout;
  std::optional<announced_server> mServer;
  std::int64_t mSequence = 0;
  instant mLastHeartbeatAt = kNever;
  bool mIsServerLost = false;
};

} // namespace plantaindale
