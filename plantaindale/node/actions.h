// What a node's control state asks for, as plain values: the daemon carries
// them out; tests print them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "generated/plantaindale_types.h"
#include "plantaindale/shards/shard_id.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// To the control address of another node. It may be lost, late or repeated.
struct send_message
{
  std::string mAddress;
  protocol::control_message mMessage;
};

// Answered by write_finished with the same token.
struct write_object
{
  std::int64_t mToken = 0;
  conditional_write mWrite;
};

// Answered by read_finished with the same token.
struct read_object
{
  std::int64_t mToken = 0;
  std::string mKind;
  std::string mName;
};

// Let no new request of the shard begin; answered by shard_quiet once those
// that run have ended.
struct close_shard
{
  shard_id mShard;
};

// Have the backend server make the shard's state ready; answered by
// shard_warmed.
struct warm_shard
{
  shard_id mShard;
  std::string mOwnerAddress;
};

// Tell people: an event for the log.
struct log_event_action
{
  std::string mEvent;
  std::string mSubject;
  std::string mReason;
};

using action = std::variant<send_message,
                            write_object,
                            read_object,
                            close_shard,
                            warm_shard,
                            log_event_action>;

// The actions of one step, in order, and the tokens that tell calls apart.
class action_list
{
public:
  explicit action_list(std::int64_t& aNextToken)
    : mNextToken(aNextToken)
  {
  }

  void Send(std::string aAddress, protocol::control_message aMessage)
  {
    mActions.push_back(
      send_message{ std::move(aAddress), std::move(aMessage) });
  }

  // Returns the token of the call.
  std::int64_t Write(conditional_write aWrite)
  {
    const std::int64_t token = mNextToken++;
    mActions.push_back(write_object{ token, std::move(aWrite) });
    return token;
  }

  // Returns the token of the call.
  std::int64_t Read(std::string_view aKind, std::string_view aName)
  {
    const std::int64_t token = mNextToken++;
    mActions.push_back(
      read_object{ token, std::string(aKind), std::string(aName) });
    return token;
  }

  void Add(action aAction) { mActions.push_back(std::move(aAction)); }

  void LogEvent(std::string aEvent,
                std::string aSubject,
                std::string aReason = "")
  {
    mActions.push_back(log_event_action{
      std::move(aEvent), std::move(aSubject), std::move(aReason) });
  }

  std::vector<action> Take() { return std::move(mActions); }

private:
  std::int64_t& mNextToken;
  std::vector<action> mActions;
};

} // namespace plantaindale
