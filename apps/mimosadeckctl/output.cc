#include "mimosadeckctl/output.h"

#include <iomanip>
#include <iostream>

namespace mimosadeck::ctl {

namespace json = boost::json;

exit_code PrintProblem(const error& found) {
  std::cerr << static_cast<int>(found.code) << ' ' << ResultCodeName(found.code)
            << ": " << found.message << '\n';
  return found.code == result_code::outcome_unknown ? exit_code::outcome_unknown
                                                    : exit_code::unreachable;
}

exit_code PrintRefusal(const reply& answer) {
  const auto* object = answer.body.if_object();
  if (object && object->contains("error")) {
    const auto& problem = object->at("error");
    std::cerr << problem.at("code").to_number<int>() << ' '
              << json::value_to<std::string>(problem.at("name")) << ": "
              << json::value_to<std::string>(problem.at("message")) << '\n';
  } else {
    std::cerr << "HTTP status " << answer.status << '\n';
  }
  return ExitCodeOf(answer);
}

exit_code Show(const result<reply>& outcome,
               bool as_json,
               const std::function<void(const json::value&)>& print) {
  if (!IsOk(outcome)) {
    return PrintProblem(std::get<error>(outcome));
  }
  const auto& answer = std::get<reply>(outcome);
  if (ExitCodeOf(answer) != exit_code::ok) {
    return PrintRefusal(answer);
  }
  if (as_json) {
    std::cout << json::serialize(answer.body) << '\n';
  } else {
    print(answer.body);
  }
  return exit_code::ok;
}

void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << row[i];
    }
    std::cout << row.back() << '\n';
  }
}

std::string Cell(const json::value& value) {
  return value.is_string() ? json::value_to<std::string>(value)
                           : json::serialize(value);
}

}  // namespace mimosadeck::ctl
