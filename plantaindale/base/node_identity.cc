#include "plantaindale/base/node_identity.h"

#include <tuple>

namespace plantaindale::protocol {

// Declared by the generated code; required by ordered containers.
bool
node_identity::operator<(const node_identity& aOther) const
{
  return std::tie(name, incarnation) <
         std::tie(aOther.name, aOther.incarnation);
}

} // namespace plantaindale::protocol
