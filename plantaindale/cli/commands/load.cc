// `plantaindale load`: to follow.
#include "plantaindale/cli/command_table.h"

namespace plantaindale {

int
RunLoad(command_arguments)
{
  return 1;
}

} // namespace plantaindale
