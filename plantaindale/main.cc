// The plantaindale binary: the node that runs next to each backend server, and
// the command line tool for operators.
#include "plantaindale/cli/command_table.h"

int
main(int argc, char** argv)
{
  return plantaindale::RunCommandLine({ argv + 1, argv + argc });
}
