// server_presence tracks the local backend server by its notices. Notices that
// are late, repeated or from an earlier server process are rejected.
//
//   server_presence presence(expected, heartbeat_timeout);
//   absl::Status accepted = presence.OnNotice(notice, now);
//   if (presence.Server()) { ... }
#pragma once

#include <optional>
#include <string>

#include "absl/status/status.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/node/server_notice.h"

namespace plantaindale {

// The server that the node accepts; an empty field matches any.
struct expected_server
{
  std::string mService;
  std::string mAddress; // IP:PORT
};

// Performs no I/O and reads no clock. Used by the control thread only.
class server_presence
{
public:
  // The server is considered lost without a heartbeat for `aHeartbeatTimeout`;
  // zero disables the check.
  server_presence(expected_server aExpected, duration aHeartbeatTimeout);

  // Returns an error if the notice has no effect: kInvalidArgument when it is
  // from another server than expected, kAlreadyExists when it is outdated.
  absl::Status OnNotice(const server_notice& aNotice, instant aNow);
  // Sets the server that an earlier process of this node had recorded, until a
  // heartbeat replaces it. No effect once a server has announced itself.
  void RestoreServer(const announced_server& aServer, instant aNow);
  // A response of this instance said that it leaves. It is not leaving any more
  // only as another instance.
  void OnSaidLeaving(std::string_view aInstance);
  // The server refused a connection.
  void OnRefused() { mIsServerLost = true; }
  void Step(instant aNow);

  // Empty while no server is known or it is lost.
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
