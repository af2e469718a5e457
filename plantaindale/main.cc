// plantaindale: the node beside each backend server, and the operators' tool.
#include "plantaindale/cli/command_table.h"

int
main(int argc, char** argv)
{
  return plantaindale::RunCommandLine({ argv + 1, argv + argc });
}
