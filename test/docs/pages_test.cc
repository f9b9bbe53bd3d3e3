#define BOOST_TEST_MODULE pages
#include <boost/test/included/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream out;
  out << file.rdbuf();
  return out.str();
}

std::set<std::string> Matches(const std::string& text,
                              const std::string& expression) {
  const std::regex pattern(expression);
  std::set<std::string> out;
  for (std::sregex_iterator each(text.begin(), text.end(), pattern), end;
       each != end; ++each) {
    out.insert((*each)[1].str());
  }
  return out;
}

/** Names in the sources of the edge daemon, and in the tables of pages. */
struct source_and_pages {
  std::filesystem::path root{std::getenv("MIMOSADECK_SOURCE")};

  std::set<std::string> InSources(const std::string& expression) const {
    std::set<std::string> out;
    for (const auto* directory : {"apps/mimosadeckd/edge", "platform"}) {
      for (const auto& file :
           std::filesystem::directory_iterator(root / directory)) {
        out.merge(Matches(ReadFile(file.path()), expression));
      }
    }
    return out;
  }

  /** Names in the first column of a page's table. */
  std::set<std::string> InTable(const std::string& page) const {
    std::set<std::string> out;
    std::istringstream text(ReadFile(root / "docs" / page));
    for (std::string row; std::getline(text, row);) {
      if (row.starts_with("| `")) {
        out.merge(Matches(row.substr(0, row.find('|', 1)), R"re(`(\w+)`)re"));
      }
    }
    return out;
  }
};

BOOST_FIXTURE_TEST_SUITE(tables, source_and_pages)

BOOST_AUTO_TEST_CASE(log_page_lists_exactly_the_events_of_the_code) {
  const auto logged = InSources(
      R"re(Log(?:Upstream)?\(\s*(?:telemetry::level::\w+,\s*)?"(\w+)")re");
  BOOST_TEST(logged.size() > 10);
  BOOST_TEST(logged == InTable("LOGS.md"), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(metrics_page_lists_exactly_the_metrics_of_the_code) {
  const auto named = InSources(R"re("(mimosadeck_\w+)")re");
  BOOST_TEST(named.size() > 10);
  BOOST_TEST(named == InTable("METRICS.md"), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
