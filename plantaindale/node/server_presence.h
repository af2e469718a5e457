// server_presence tracks the local backend server by its notices. Notices that
// are late, repeated or from an earlier server process are rejected.
//
//   server_presence presence(expected, heartbeat_timeout);
//   absl::Status accepted = presence.OnNotice(notice, now);
//   if (presence.Server()) { ... }
#pragma once

#include <map>
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
  // The server is considered lost without a heartbeat for `aHeartbeatTimeout`,
  // and a restored one that has sent none for `aRestoredTimeout` if that is
  // less; a zero `aHeartbeatTimeout` disables the check.
  server_presence(expected_server aExpected,
                  duration aHeartbeatTimeout,
                  duration aRestoredTimeout);

  // Returns an error if the notice has no effect: kInvalidArgument when it is
  // from another server than expected, kAlreadyExists when it is outdated. That
  // a server leaves always has an effect, also before it is registered.
  absl::Status OnNotice(const server_notice& aNotice, instant aNow);
  // Sets the server that an earlier process of this node had recorded, until a
  // heartbeat replaces it. Once a server has announced itself, the only effect
  // is that it leaves, if it had told the earlier process so.
  void RestoreServer(const announced_server& aServer, instant aNow);
  // A response of this instance said that it leaves. It is not leaving any more
  // only as another instance.
  void OnSaidLeaving(std::string_view aInstance, instant aNow);
  // The server refused a connection.
  void OnRefused() { mIsServerLost = true; }
  void Step(instant aNow);

  // Empty while no server is known or it is lost.
  std::optional<announced_server> Server() const;
  // When the server said that it leaves: instant::max() if it has not. kNever
  // if it may have told an earlier process of this node, at a time that is
  // unknown.
  instant LeavingSince() const { return mLeavingSince; }

private:
  absl::Status OnHeartbeat(const server_notice& aNotice, instant aNow);
  absl::Status OnLeaving(const server_notice& aNotice, instant aNow);
  void MarkLeaving(instant aNow);
  bool LeftUnregistered(const announced_server& aServer) const;

  expected_server mExpected;
  duration mHeartbeatTimeout;
  duration mRestoredTimeout;
  std::optional<announced_server> mServer;
  bool mIsRestored = false; // no heartbeat of its own yet
  bool mWasReady = false;   // as this start of it has told this process
  instant mLeavingSince = instant::max();
  // Instances that said that they leave while they were not registered, with
  // the Unix time in ms. A later start under the same name has not said so.
  std::map<std::string, std::int64_t, std::less<>> mUnregisteredLeaving;
  std::int64_t mSequence = 0;
  instant mLastHeartbeatAt = kNever;
  bool mIsServerLost = false;
};

} // namespace plantaindale
