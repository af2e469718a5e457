// Actions that node_machine returns, as plain values. node_daemon executes
// them; tests can inspect them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "generated/plantaindale_types.h"
#include "plantaindale/shards/shard_id.h"
#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Sends a message to the control address of another node. It may be lost,
// delayed or duplicated.
struct send_message
{
  std::string mAddress;
  protocol::control_message mMessage;
};

// Writes an object; answered by write_finished with the same token.
struct write_object
{
  std::int64_t mToken = 0;
  conditional_write mWrite;
};

// Reads an object; answered by read_finished with the same token.
struct read_object
{
  std::int64_t mToken = 0;
  std::string mKind;
  std::string mName;
};

// Closes the shard to new requests; answered by shards_drained once the running
// ones have ended.
struct close_shard
{
  shard_id mShard;
};

// Has the backend server load the shard's state; answered by shard_warmed.
struct warm_shard
{
  shard_id mShard;
  std::string mOwnerAddress;
};

// Writes an event to the log.
struct log_event_action
{
  std::string mEvent;
  std::string mSubject;
  std::string mReason;
  std::vector<std::pair<std::string, std::string>> mFields = {};
};

using action = std::variant<send_message,
                            write_object,
                            read_object,
                            close_shard,
                            warm_shard,
                            log_event_action>;

// Collects the actions of one step, in order, and assigns the tokens that match
// results to calls.
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

  // Adds a write and returns its token.
  std::int64_t Write(conditional_write aWrite)
  {
    const std::int64_t token = mNextToken++;
    mActions.push_back(write_object{ token, std::move(aWrite) });
    return token;
  }

  // Adds a read and returns its token.
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

  std::vector<action> TakeActions() { return std::move(mActions); }

private:
  std::int64_t& mNextToken;
  std::vector<action> mActions;
};

} // namespace plantaindale
