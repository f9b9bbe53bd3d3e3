#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <tclap/CmdLine.h>

#include "bench/policy.h"
#include "bench/slopes.h"

namespace mimosadeck::bench {
namespace internal {
namespace {

/** @brief Least, median and greatest of the seeds' values. */
struct spread {
  double least{};
  double median{};
  double greatest{};
};

spread SpreadOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

double Percent(std::uint64_t part, std::uint64_t whole) {
  constexpr double kHundred = 100;
  return whole
             ? kHundred * static_cast<double>(part) / static_cast<double>(whole)
             : kHundred;
}

using values_by_name = std::map<std::string, std::vector<double>>;

void Collect(const run_result& result, values_by_name& out) {
  constexpr double kHundred = 100;
  for (const auto& [name, one] : result.classes) {
    out[name + " in target %"].push_back(Percent(one.in_target, one.offered));
    out[name + " refused %"].push_back(Percent(one.refused, one.offered));
    out[name + " longest wait ms"].push_back(one.longest_wait_ms);
  }
  out["worst account % of its share"].push_back(result.worst_account *
                                                kHundred);
  out["tokens served"].push_back(static_cast<double>(result.tokens));
  out["wasted tokens %"].push_back(
      Percent(result.wasted_tokens, result.tokens + result.wasted_tokens));
  out["cheaper share %"].push_back(result.cheaper_part * kHundred);
  out["upstream cost"].push_back(result.cost);
}

void RunFile(const std::string& path, std::uint64_t seeds, std::ostream& csv) {
  const auto what = LoadScenario(path);
  std::map<policy, values_by_name> values;
  for (const auto how : {policy::baseline, policy::mimosadeck}) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Collect(RunScenario(what, how, seed), values[how]);
    }
  }
  std::cout << "\n"
            << what.name << " (median of " << seeds
            << " seeds, least..greatest)\n";
  std::cout << std::left << std::setw(34) << "" << std::setw(34) << "baseline"
            << "mimosadeck\n";
  for (const auto& [name, unused] : values[policy::mimosadeck]) {
    std::cout << std::left << std::setw(34) << name;
    for (const auto how : {policy::baseline, policy::mimosadeck}) {
      const auto all = SpreadOf(values[how][name]);
      std::ostringstream cell;
      cell << std::fixed << std::setprecision(1) << all.median << " ("
           << all.least << ".." << all.greatest << ")";
      std::cout << std::setw(34) << cell.str();
      csv << what.name << ','
          << (how == policy::baseline ? "baseline" : "mimosadeck") << ','
          << name << ',' << all.least << ',' << all.median << ','
          << all.greatest << '\n';
    }
    std::cout << '\n';
  }
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::bench

int main(int argc, char** argv) {
  constexpr int kExitFailure = 1;
  try {
    TCLAP::CmdLine line(
        "Runs the decision libraries in virtual time against a model of the "
        "engines, beside a first come first served baseline. Without "
        "scenarios it measures the processor time of each decision.");
    TCLAP::ValueArg<std::uint64_t> seeds("s", "seeds", "Seeds to run", false, 5,
                                         "N", line);
    TCLAP::ValueArg<std::string> csv("c", "csv", "File for the figures", false,
                                     "", "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> files("scenario", "Scenario files",
                                                false, "FILE", line);
    line.parse(argc, argv);
    if (files.getValue().empty()) {
      mimosadeck::bench::PrintSlopes();
      return 0;
    }
    std::ofstream out;
    if (!csv.getValue().empty()) {
      out.open(csv.getValue());
    }
    out << "scenario,policy,measure,least,median,greatest\n";
    for (const auto& path : files.getValue()) {
      mimosadeck::bench::internal::RunFile(path, seeds.getValue(), out);
    }
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << "mimosadeck_bench: " << failure.what() << '\n';
    return kExitFailure;
  }
}
