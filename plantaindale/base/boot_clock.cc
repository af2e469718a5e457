#include "plantaindale/base/boot_clock.h"

#include <ctime>

namespace plantaindale {

boot_clock::time_point
boot_clock::now() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::microseconds(time.tv_nsec / 1000));
}

} // namespace plantaindale
