// held_body keeps the parts of a response's body until they can be sent, in the
// order in which they came.
//
//   body.Add(bytes);
//   while (!body.IsEmpty()) { Send(body.First()); body.RemoveFirst(); }
#pragma once

#include <algorithm>
#include <deque>
#include <span>
#include <string>
#include <string_view>

#include "plantaindale/request/exchange.h"

namespace plantaindale {

// Single-threaded. Small parts are joined to parts of up to kChunkSize bytes,
// so that little memory is used beside the bytes.
class held_body
{
public:
  void Add(std::span<const char> aBytes)
  {
    while (!aBytes.empty()) {
      if (mParts.empty() || mParts.back().size() >= kChunkSize) {
        mParts.emplace_back().reserve(std::min(aBytes.size(), kChunkSize));
      }
      std::string& last = mParts.back();
      const std::size_t count =
        std::min(aBytes.size(), kChunkSize - last.size());
      last.append(aBytes.data(), count);
      aBytes = aBytes.subspan(count);
    }
  }
  void RemoveFirst() { mParts.pop_front(); }

  bool IsEmpty() const { return mParts.empty(); }
  // Must not be empty. Valid until the next command.
  std::string_view First() const { return mParts.front(); }

private:
  std::deque<std::string> mParts;
};

} // namespace plantaindale
