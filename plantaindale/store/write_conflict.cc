#include "plantaindale/store/write_conflict.h"

#include "absl/strings/cord.h"
#include "plantaindale/net/codec.h"

namespace plantaindale {
namespace {

constexpr char kPayloadType[] = "plantaindale/stored_object";

} // namespace

absl::Status
WithCurrentObject(absl::Status aRefusal, const stored_object& aCurrent)
{
  aRefusal.SetPayload(kPayloadType, absl::Cord(Encode(aCurrent)));
  return aRefusal;
}

std::optional<stored_object>
CurrentObject(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(kPayloadType);
  if (!payload) {
    return std::nullopt;
  }
  auto object = Decode<stored_object>(std::string(*payload), "payload");
  if (!object.ok()) {
    return std::nullopt;
  }
  return *std::move(object);
}

} // namespace plantaindale
