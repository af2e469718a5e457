#include "plantaindale/limits/byte_budget.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace plantaindale {

byte_budget::byte_budget(std::size_t aBytes)
  : mBytes(aBytes)
{
}

byte_budget::share::share(byte_budget& aBudget)
  : mBudget(aBudget)
{
}

byte_budget::share::~share()
{
  Return(mHeld);
}

bool
byte_budget::share::TryTake(std::size_t aBytes)
{
  const std::size_t left = mBudget.mBytes - mBudget.mHeld;
  const bool has_room = mHeld + aBytes <= left / kParts;
  if (!has_room) {
    ++mBudget.mRefusals;
    return false;
  }
  mHeld += aBytes;
  mBudget.mHeld += aBytes;
  mBudget.mMostHeld = std::max(mBudget.mMostHeld, mBudget.mHeld);
  return true;
}

void
byte_budget::share::Return(std::size_t aBytes)
{
  const std::size_t returned = std::min(aBytes, mHeld);
  mHeld -= returned;
  mBudget.mHeld -= returned;
}

std::string
byte_budget::ToPrometheus() const
{
  return absl::StrCat("# TYPE plantaindale_slow_reader_bytes gauge\n"
                      "plantaindale_slow_reader_bytes ",
                      mHeld,
                      "\n# TYPE plantaindale_slow_reader_bytes_max gauge\n"
                      "plantaindale_slow_reader_bytes_max ",
                      mMostHeld,
                      "\n# TYPE plantaindale_slow_reader_waits_total counter\n"
                      "plantaindale_slow_reader_waits_total ",
                      mRefusals,
                      "\n");
}

} // namespace plantaindale
