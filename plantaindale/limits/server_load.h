// server_load is what a backend server says of its load in a response: how many
// requests it runs, how many wait in it, its slots and, optionally, how long
// work takes on its machine at this moment.
//
//   const auto load = ParseServerLoad("3,0,8,140");
//   if (load) { ... load->mSlowness is 1.4 ... }
#pragma once

#include <optional>
#include <string_view>

namespace plantaindale {

struct server_load
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
  double mSlowness = 1; // how long work takes now; 1: as usual, 0: not told
};

// Parses `running,waiting,slots[,slowness in percent]`. None if the text has
// another form, or numbers that no server can mean, such as no slots or far
// more running requests than slots.
std::optional<server_load>
ParseServerLoad(std::string_view aText);

} // namespace plantaindale
