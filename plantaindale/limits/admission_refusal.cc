#include "plantaindale/limits/admission_refusal.h"

#include <cstdint>
#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace plantaindale {
namespace {

constexpr const char* kRoomExpectedInUs = "plantaindale/room_expected_in_us";

} // namespace

absl::Status
MakeRefusal(absl::StatusCode aCode,
            std::string_view aReason,
            duration aRoomExpectedIn)
{
  absl::Status refusal(aCode, std::string(aReason));
  refusal.SetPayload(kRoomExpectedInUs,
                     absl::Cord(absl::StrCat(aRoomExpectedIn.count())));
  return refusal;
}

duration
RoomExpectedIn(const absl::Status& aRefusal)
{
  const auto payload = aRefusal.GetPayload(kRoomExpectedInUs);
  std::int64_t microseconds = 0;
  const bool is_known =
    payload && absl::SimpleAtoi(std::string(*payload), &microseconds);
  return duration(is_known ? microseconds : 0);
}

} // namespace plantaindale
