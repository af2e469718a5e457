// Returns the golden file to compare a test's output with. If UPDATE_GOLDEN is
// set in the environment, it first overwrites the file with `aPrinted`; review
// the difference before committing it.
//
//   BOOST_CHECK_EQUAL(log, GoldenText("kill", log));
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
