// Sets the body of an object that was read from a store other programs write
// to.
//
//   SetContent(FindMember(members, "spec"), object);
#pragma once

#include <string_view>

#include "plantaindale/store/object_store.h"

namespace plantaindale {

// Takes the text as the body if it is JSON; else logs it, and leaves the body
// empty. `aObject` has its kind, name and revision already.
void
SetContent(std::string_view aText, stored_object& aObject);

} // namespace plantaindale
