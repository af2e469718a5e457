#include "plantaindale/base/error.h"

#include "absl/strings/str_cat.h"

namespace plantaindale {
namespace {

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

absl::Status
MakeError(absl::StatusCode aCode,
          std::string_view aStep,
          std::string_view aPeer,
          std::string_view aReason)
{
  std::string message = absl::StrCat("step=", View(aStep));
  if (!aPeer.empty()) {
    absl::StrAppend(&message, " peer=", View(aPeer));
  }
  absl::StrAppend(&message, " ", View(aReason));
  return absl::Status(aCode, message);
}

std::string_view
Reason(const absl::Status& aStatus)
{
  return { aStatus.message().data(), aStatus.message().size() };
}

} // namespace plantaindale
