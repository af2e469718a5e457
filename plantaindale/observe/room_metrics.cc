#include "plantaindale/observe/room_metrics.h"

#include <string_view>

#include "absl/strings/str_cat.h"

namespace plantaindale {

std::string
RoomToPrometheus(const server_room& aRoom, double aCapacity)
{
  std::string text;
  if (aRoom.mSlots == 0) {
    return text;
  }
  const auto add = [&](const char* aName, double aValue) {
    absl::StrAppend(&text,
                    "# TYPE plantaindale_server_",
                    aName,
                    " gauge\nplantaindale_server_",
                    aName,
                    " ",
                    aValue,
                    "\n");
  };
  const auto seconds = [](duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  add("slots", aRoom.mSlots);
  add("running", aRoom.mRunning);
  add("waiting", aRoom.mWaiting);
  add("slowness", aRoom.mSlowness);
  add("starts_per_second", aRoom.mStartsPerSecond);
  add("wait_seconds", seconds(aRoom.mWait));
  add("run_seconds", seconds(aRoom.mRun));
  add("capacity", aCapacity);
  return text;
}

} // namespace plantaindale
