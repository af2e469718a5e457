#include "plantaindale/store/stored_content.h"

#include "plantaindale/base/log_event.h"
#include <boost/json.hpp>

namespace plantaindale {

void
SetContent(std::string_view aText, stored_object& aObject)
{
  boost::system::error_code malformed;
  boost::json::parse(aText, malformed);
  if (malformed) {
    log_event("object_refused", log_level::kWarning)
      .With("kind", aObject.kind)
      .With("name", aObject.name)
      .With("revision", aObject.revision)
      .With("reason", malformed.message());
    return;
  }
  aObject.body = aText;
}

} // namespace plantaindale
