// Compares what a session printed with its golden file. With UPDATE_GOLDEN=1
// in the environment the file is written instead, for a person to read over.
#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace plantaindale::sessions {

inline std::string
GoldenText(const std::string& aName, const std::string& aPrinted)
{
  const std::string file =
    std::string(SOURCE_FOLDER) + "/sessions/golden/" + aName + ".txt";
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(file) << aPrinted;
  }
  std::ifstream input(file);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

} // namespace plantaindale::sessions
