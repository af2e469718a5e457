#include "plantaindale/node/grant_binding.h"

#include <algorithm>

namespace plantaindale {

grant_binding::grant_binding(announced_server aServer, node_identity aNode)
  : mServer(std::move(aServer))
  , mNode(std::move(aNode))
{
}

bool
grant_binding::IsSameStart(const grant_binding& aOther) const
{
  return mNode == aOther.mNode && mServer.IsSameStart(aOther.mServer);
}

void
grant_binding::ContinueFrom(const grant_binding& aEarlier)
{
  if (mNode == aEarlier.mNode) {
    mConnection = std::max(mConnection, aEarlier.mConnection);
  }
}

void
grant_binding::AddConnection()
{
  mConnection = std::min(mConnection, kMaxConnections) + 1;
}

std::optional<std::int64_t>
grant_binding::Token(std::int64_t aFence) const
{
  constexpr std::int64_t kMaxFence = kMaxStoredNumber >> kConnectionBits;
  if (mConnection == 0 || IsUsedUp() || aFence >= kMaxFence) {
    return std::nullopt;
  }
  return (aFence << kConnectionBits) | mConnection;
}

} // namespace plantaindale
