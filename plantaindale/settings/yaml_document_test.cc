#include "plantaindale/settings/yaml_document.h"

#include <filesystem>
#include <fstream>

#include "plantaindale/base/error.h"
#include "plantaindale/settings/node_settings.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

std::string
SettingsFile(const std::string& aText)
{
  const std::string file =
    (std::filesystem::temp_directory_path() / "plantaindale-settings.yaml")
      .string();
  std::ofstream(file) << aText;
  return file;
}

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(reports_all_faults_with_their_lines)
{
  const auto settings = ReadNodeSettings(SettingsFile("name: n1\n"
                                                      "regoin: khangai\n"
                                                      "platform: here\n"
                                                      "listen:\n"
                                                      "  caller: 1.2.3.4:80\n"
                                                      "  peer: 7\n"));
  const std::string text(Reason(settings.status()));
  for (const char* part : { ":2: regoin: expected no such key",
                            ":3: platform: expected IP:PORT",
                            ":6: listen.peer: expected text",
                            "region: expected a value",
                            "failure_domain: expected a value",
                            "listen.control: expected a value" }) {
    BOOST_CHECK_MESSAGE(text.find(part) != std::string::npos,
                        part << " in " << text);
  }
}

BOOST_AUTO_TEST_CASE(takes_values_from_the_environment)
{
  constexpr const char* kVariable = "PLANTAINDALE_TEST_VALUE";
  const std::string text = "a: ${PLANTAINDALE_TEST_VALUE}\n"
                           "b: \"${PLANTAINDALE_TEST_VALUE}\"\n";
  const auto read = [&] {
    return ReadYaml(text, "x.yaml")->mValue.as_object();
  };
  BOOST_CHECK(!read().contains("a"));
  setenv(kVariable, "", 1);
  BOOST_CHECK(!read().contains("a"));
  setenv(kVariable, "12", 1);
  BOOST_CHECK_EQUAL(read().at("a").as_int64(), 12);
  BOOST_CHECK(read().at("b").as_string() == "${PLANTAINDALE_TEST_VALUE}");
  unsetenv(kVariable);
}

BOOST_AUTO_TEST_CASE(reports_line_of_yaml_syntax_error)
{
  const auto document = ReadYaml("a: [1\nb: 2\n", "x.yaml");
  BOOST_CHECK(!document.ok());
  BOOST_CHECK(Reason(document.status()).find("peer=x.yaml line ") !=
              std::string_view::npos);
}

BOOST_AUTO_TEST_CASE(accepts_example_configurations)
{
  for (const char* name : { "tsagaan-duu", "shikongo-kuipe" }) {
    const std::string file =
      std::string(SOURCE_FOLDER) + "/examples/" + name + ".yaml";
    const auto document = ReadYamlFile(file);
    BOOST_REQUIRE(document.ok());
    std::vector<document_fault> faults;
    const auto configuration = ParseDocument(document->mValue, faults);
    BOOST_CHECK(faults.empty());
    BOOST_CHECK_EQUAL(configuration.mServices.size(), 4u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
