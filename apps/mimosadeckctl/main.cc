#include <cstdlib>
#include <functional>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "mimosadeckctl/client.h"
#include "mimosadeckctl/logs.h"
#include "mimosadeckctl/output.h"
#include "settings/settings.h"

namespace mimosadeck::ctl {
namespace internal {
namespace {

namespace json = boost::json;

constexpr std::size_t kKeyBytes = 24;
constexpr std::size_t kHashDigits = 64;

/** @brief What the command line says. */
struct invocation {
  connection to;
  std::string author;
  std::int64_t expected{-1};
  bool as_json{};
  std::string node;
  std::uint32_t standard{};
  std::uint32_t cheaper{};
  std::vector<std::string> words;
};

/** @brief One command: its words, then so many arguments. */
struct command {
  std::vector<std::string> words;
  std::vector<std::string> arguments;
  std::string help;
  std::function<exit_code(const invocation&, const std::vector<std::string>&)>
      run;
};

exit_code Show(const invocation& in,
               const result<reply>& outcome,
               const std::function<void(const json::value&)>& print) {
  return ctl::Show(outcome, in.as_json, print);
}

void PrintVersion(const json::value& body) {
  std::cout << "accepted as version "
            << body.at("version").to_number<std::uint64_t>() << '\n';
}

exit_code Change(const invocation& in, const std::vector<change>& changes) {
  return Show(in, SendChanges(in.to, in.author, in.expected, changes),
              PrintVersion);
}

/** @brief Prints the entries of the configuration under one prefix. */
std::function<void(const json::value&)> PrintEntries(
    const std::string& prefix) {
  return [prefix](const json::value& body) {
    std::vector<std::vector<std::string>> rows;
    for (const auto& [path, value] : body.at("entries").as_object()) {
      if (std::string_view(path).starts_with(prefix)) {
        rows.push_back(
            {std::string(path).substr(prefix.size()), json::serialize(value)});
      }
    }
    if (!rows.empty()) {
      PrintTable(rows);
    }
  };
}

result<reply> Get(const invocation& in, const std::string& target) {
  return Call(in.to, "GET", target, "");
}

/** @brief Reads every page of rows from `after` on, as one answer. */
result<reply> GetAllRows(const invocation& in,
                         const std::string& target,
                         std::uint64_t after) {
  json::array rows;
  while (true) {
    auto page = Get(in, target + "?after=" + std::to_string(after));
    if (!IsOk(page) || ExitCodeOf(std::get<reply>(page)) != exit_code::ok) {
      return page;
    }
    auto& answer = std::get<reply>(page);
    const auto& found = answer.body.at("rows").as_array();
    rows.insert(rows.end(), found.begin(), found.end());
    if (!answer.body.at("more").as_bool()) {
      answer.body = json::object{{"rows", std::move(rows)}};
      return page;
    }
    after += found.size();
  }
}

exit_code List(const invocation& in, const std::string& prefix) {
  return Show(in, Get(in, "/admin/v1/config"), PrintEntries(prefix));
}

json::value ParseOrText(const std::string& text) {
  boost::system::error_code failure;
  auto parsed = json::parse(text, failure);
  return failure ? json::value(text) : parsed;
}

exit_code Import(const invocation& in, const std::vector<std::string>& words) {
  const auto loaded = settings::LoadSettings(words[0]);
  if (const auto* errors = std::get_if<std::vector<error>>(&loaded)) {
    for (const auto& found : *errors) {
      std::cerr << static_cast<int>(found.code) << ' '
                << ResultCodeName(found.code) << ": " << found.message << '\n';
    }
    return exit_code::bad_usage;
  }
  std::vector<change> changes;
  for (const auto& item : std::get<settings::settings_file>(loaded).fleet) {
    changes.push_back({item.path, json::parse(*item.value)});
  }
  return Change(in, changes);
}

exit_code CreateAccount(const invocation& in,
                        const std::vector<std::string>& words) {
  return Change(in,
                {{"accounts/" + words[0], json::object{{"node", in.node}}}});
}

exit_code IssueKey(const invocation& in,
                   const std::vector<std::string>& words) {
  const std::string key = "mk_" + RandomHex(kKeyBytes);
  const auto outcome = SendChanges(
      in.to, in.author, in.expected,
      {{settings::KeyPath(Sha256Hex(key)),
        json::object{{"account", words[0]}, {"withdrawn", false}}}});
  return Show(in, outcome, [&key](const json::value& body) {
    PrintVersion(body);
    std::cout << "KEY=" << key << '\n';
  });
}

exit_code WithdrawKey(const invocation& in,
                      const std::vector<std::string>& words) {
  const std::string hash =
      words[0].size() == kHashDigits ? words[0] : Sha256Hex(words[0]);
  const auto present = Get(in, "/admin/v1/config");
  if (!IsOk(present)) {
    return PrintProblem(std::get<error>(present));
  }
  const auto& answer = std::get<reply>(present);
  if (ExitCodeOf(answer) != exit_code::ok) {
    return PrintRefusal(answer);
  }
  const auto& entries = answer.body.at("entries").as_object();
  const auto* known = entries.if_contains(settings::KeyPath(hash));
  if (!known) {
    std::cerr << static_cast<int>(result_code::not_found)
              << " not_found: no such key\n";
    return exit_code::failed;
  }
  json::object value = known->as_object();
  value["withdrawn"] = true;
  return Change(in, {{settings::KeyPath(hash), value}});
}

exit_code GetSetting(const invocation& in,
                     const std::vector<std::string>& words) {
  return Show(in, Get(in, "/admin/v1/config"), [&](const json::value& body) {
    config::document document;
    for (const auto& [path, value] : body.at("entries").as_object()) {
      document.values[path] = json::serialize(value);
    }
    const auto text = settings::Resolve(document, words[0], words[1]);
    std::cout << (text.empty() ? "no such setting" : text) << '\n';
  });
}

exit_code SetSetting(const invocation& in,
                     const std::vector<std::string>& words) {
  return Change(
      in, {{settings::SettingPath(words[0], words[1]), ParseOrText(words[2])}});
}

exit_code UnsetSetting(const invocation& in,
                       const std::vector<std::string>& words) {
  return Change(in, {{settings::SettingPath(words[0], words[1]), nullptr}});
}

exit_code ListSettingKeys(const invocation&, const std::vector<std::string>&) {
  std::vector<std::vector<std::string>> rows{
      {"KEY", "DEFAULT", "UNIT", "MEANING"}};
  for (const auto& spec : settings::AllSettings()) {
    rows.push_back({std::string(spec.key), std::string(spec.default_value),
                    std::string(spec.unit), std::string(spec.help)});
  }
  PrintTable(rows);
  return exit_code::ok;
}

void PrintHistory(const json::value& body) {
  std::vector<std::vector<std::string>> rows{{"VERSION", "AUTHOR", "CHANGES"}};
  for (const auto& item : body.at("rows").as_array()) {
    std::string paths;
    for (const auto& entry : item.at("changes").as_array()) {
      paths += (paths.empty() ? "" : " ") + Cell(entry.at("path"));
    }
    rows.push_back({Cell(item.at("version")), Cell(item.at("author")), paths});
  }
  PrintTable(rows);
}

exit_code History(const invocation& in, const std::vector<std::string>&) {
  return Show(in, GetAllRows(in, "/admin/v1/history", 0), PrintHistory);
}

exit_code Diff(const invocation& in, const std::vector<std::string>& words) {
  const auto upto = std::strtoull(words[1].c_str(), nullptr, 10);
  return Show(
      in,
      GetAllRows(in, "/admin/v1/history",
                 std::strtoull(words[0].c_str(), nullptr, 10)),
      [upto](const json::value& body) {
        for (const auto& item : body.at("rows").as_array()) {
          const auto version = item.at("version").to_number<std::uint64_t>();
          if (version > upto) {
            break;
          }
          for (const auto& entry : item.at("changes").as_array()) {
            const auto* value = entry.as_object().if_contains("value");
            std::cout << version << ' ' << Cell(entry.at("path")) << " = "
                      << (value ? Cell(*value) : "(removed)") << '\n';
          }
        }
      });
}

exit_code SetUpstreams(const invocation& in,
                       const std::vector<std::string>& words) {
  return Change(
      in, {{"upstreams/" + words[0] + "/" + words[1],
            json::object{{"standard", in.standard}, {"cheaper", in.cheaper}}}});
}

exit_code AddModel(const invocation& in,
                   const std::vector<std::string>& words) {
  return Change(in, {{"models/" + words[0], json::object{}}});
}

void PrintStatus(const json::value& body) {
  std::cout << "entry " << Cell(body.at("id")) << " in "
            << Cell(body.at("data_centre")) << ", configuration "
            << Cell(body.at("version")) << " (" << Cell(body.at("freshness"))
            << ")" << (body.at("draining").as_bool() ? ", draining" : "")
            << ", booking shards " << Cell(body.at("booking_shards"))
            << ", leases " << Cell(body.at("leases")) << "\n\n";
  std::vector<std::vector<std::string>> rows{
      {"ENTRY", "DATA CENTRE", "STATE", "LEAVING", "ADDRESS"}};
  for (const auto& member : body.at("members").as_array()) {
    rows.push_back({Cell(member.at("id")), Cell(member.at("data_centre")),
                    Cell(member.at("state")), Cell(member.at("leaving")),
                    Cell(member.at("address"))});
  }
  PrintTable(rows);
  std::cout << '\n';
  rows = {{"POOL", "WAITING", "UPSTREAM", "SLOTS", "IN FLIGHT", "FAILURES"}};
  for (const auto& pool : body.at("pools").as_array()) {
    for (const auto& upstream : pool.at("upstreams").as_array()) {
      rows.push_back({Cell(pool.at("pool")), Cell(pool.at("waiting")),
                      Cell(upstream.at("id")), Cell(upstream.at("slots")),
                      Cell(upstream.at("in_flight")),
                      Cell(upstream.at("failures"))});
    }
  }
  PrintTable(rows);
}

exit_code Status(const invocation& in, const std::vector<std::string>&) {
  return Show(in, Get(in, "/admin/v1/status"), PrintStatus);
}

exit_code Drain(const invocation& in, const std::vector<std::string>&) {
  return Show(in, Call(in.to, "POST", "/admin/v1/drain", ""),
              [](const json::value&) {
                std::cout << "draining; the process ends by itself\n";
              });
}

void PrintUsage(const json::value& body) {
  std::vector<std::vector<std::string>> rows{
      {"WINDOW", "ACCOUNT", "REQUESTS", "PROMPT TOKENS", "ANSWER TOKENS"}};
  for (const auto& window : body.at("rows").as_array()) {
    for (const auto& [account, used] : window.at("accounts").as_object()) {
      rows.push_back({Cell(window.at("window")), std::string(account),
                      Cell(used.at("requests")), Cell(used.at("prompt_tokens")),
                      Cell(used.at("completion_tokens"))});
    }
  }
  PrintTable(rows);
}

exit_code Usage(const invocation& in, const std::vector<std::string>&) {
  return Show(in, GetAllRows(in, "/admin/v1/usage", 0), PrintUsage);
}

const std::vector<command>& Commands() {
  static const std::vector<command> commands{
      {{"import"},
       {"FILE"},
       "send the `fleet` part of a settings file",
       Import},
      {{"account", "create"},
       {"NAME"},
       "create a client account at --node",
       CreateAccount},
      {{"account", "list"},
       {},
       "list client accounts",
       [](const auto& in, const auto&) { return List(in, "accounts/"); }},
      {{"key", "issue"},
       {"ACCOUNT"},
       "issue a key and print it once",
       IssueKey},
      {{"key", "withdraw"},
       {"KEY-OR-HASH"},
       "withdraw a key for good",
       WithdrawKey},
      {{"key", "list"},
       {},
       "list the hashes of all keys",
       [](const auto& in, const auto&) { return List(in, "keys/"); }},
      {{"class", "set"},
       {"NODE", "CLASS.SETTING", "VALUE"},
       "set a class setting, for instance `firm lookup.tier 1`",
       [](const auto& in, const auto& words) {
         return SetSetting(in, {words[0], "classes." + words[1], words[2]});
       }},
      {{"settings", "keys"},
       {},
       "list every setting a node may carry",
       ListSettingKeys},
      {{"settings", "list"},
       {},
       "list the settings of all nodes",
       [](const auto& in, const auto&) { return List(in, "tree/"); }},
      {{"settings", "get"},
       {"NODE", "KEY"},
       "show the value that holds at a node",
       GetSetting},
      {{"settings", "set"},
       {"NODE", "KEY", "VALUE"},
       "set a value at a node",
       SetSetting},
      {{"settings", "unset"},
       {"NODE", "KEY"},
       "let a node inherit a value again",
       UnsetSetting},
      {{"settings", "history"}, {}, "list the versions", History},
      {{"settings", "diff"},
       {"FROM", "TO"},
       "show what changed between versions",
       Diff},
      {{"upstream", "set"},
       {"DATA-CENTRE", "POOL"},
       "set how many upstreams to run: --standard, --cheaper",
       SetUpstreams},
      {{"upstream", "list"},
       {},
       "list how many upstreams to run",
       [](const auto& in, const auto&) { return List(in, "upstreams/"); }},
      {{"model", "add"}, {"NAME"}, "add a model", AddModel},
      {{"status"}, {}, "show this entry, its members and its pools", Status},
      {{"drain"}, {}, "stop this entry without cutting a request off", Drain},
      {{"usage"}, {}, "list the billing windows", Usage},
      {{"explain"},
       {"REQUEST"},
       "tell one request's life from daemons' logs on standard input",
       [](const auto& in, const auto& words) {
         return ExplainRequest(std::cin, words[0], in.as_json);
       }},
      {{"logs", "summary"},
       {},
       "count outcomes and reasons in daemons' logs on standard input",
       [](const auto& in, const auto&) {
         return SummarizeLogs(std::cin, in.as_json);
       }},
  };
  return commands;
}

std::string Summary() {
  std::ostringstream out;
  out << "Operates a mimosadeck fleet through any entry, and reads the "
         "daemons' logs.\n\nCommands:\n";
  for (const auto& item : Commands()) {
    std::string line;
    for (const auto& word : item.words) {
      line += word + " ";
    }
    for (const auto& argument : item.arguments) {
      line += argument + " ";
    }
    out << "  " << line << "- " << item.help << '\n';
  }
  out << "\nExit codes: 0 done, 1 refused, 2 bad usage, 3 another change came "
         "first, 4 outcome unknown, 5 not reachable.";
  return out.str();
}

bool Matches(const command& item, const std::vector<std::string>& words) {
  return words.size() == item.words.size() + item.arguments.size() &&
         std::equal(item.words.begin(), item.words.end(), words.begin());
}

exit_code Run(const invocation& in) {
  for (const auto& item : Commands()) {
    if (Matches(item, in.words)) {
      const auto first = static_cast<std::ptrdiff_t>(item.words.size());
      return item.run(in, {in.words.begin() + first, in.words.end()});
    }
  }
  std::cerr << Summary() << '\n';
  return exit_code::bad_usage;
}

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

exit_code Main(int argc, char** argv) {
  TCLAP::CmdLine line(Summary(), ' ', "0.1.0");
  TCLAP::ValueArg<std::string> entry(
      "e", "entry", "Operator address of an entry; MIMOSADECK_ENTRY", false,
      FromEnvironment("MIMOSADECK_ENTRY"), "IP:PORT", line);
  TCLAP::ValueArg<std::string> key(
      "k", "key", "Operator key; MIMOSADECK_OPERATOR_KEY", false,
      FromEnvironment("MIMOSADECK_OPERATOR_KEY"), "KEY", line);
  TCLAP::ValueArg<std::string> author("a", "author",
                                      "Name written into the history", false,
                                      "operator", "NAME", line);
  TCLAP::ValueArg<std::int64_t> expected(
      "x", "expect", "Version that the change applies to; default: present",
      false, -1, "VERSION", line);
  TCLAP::ValueArg<std::string> node("n", "node", "Node of the settings tree",
                                    false, "firm", "NODE", line);
  TCLAP::ValueArg<std::uint32_t> standard("s", "standard", "Standard upstreams",
                                          false, 0, "N", line);
  TCLAP::ValueArg<std::uint32_t> cheaper("c", "cheaper", "Cheaper upstreams",
                                         false, 0, "N", line);
  TCLAP::SwitchArg as_json("j", "json", "Print JSON", line);
  TCLAP::UnlabeledMultiArg<std::string> words("command", "Command", false,
                                              "COMMAND", line);
  line.parse(argc, argv);
  invocation in;
  in.to = {entry.getValue(), key.getValue()};
  in.author = author.getValue();
  in.expected = expected.getValue();
  in.as_json = as_json.getValue();
  in.node = node.getValue();
  in.standard = standard.getValue();
  in.cheaper = cheaper.getValue();
  in.words = words.getValue();
  return Run(in);
}

}  // namespace
}  // namespace internal
}  // namespace mimosadeck::ctl

int main(int argc, char** argv) {
  try {
    return static_cast<int>(mimosadeck::ctl::internal::Main(argc, argv));
  } catch (const std::exception& failure) {
    std::cerr << "mimosadeckctl: " << failure.what() << '\n';
    return static_cast<int>(mimosadeck::ctl::exit_code::bad_usage);
  }
}
