#include "system/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "base/base.h"
#include "settings/settings.h"

extern char** environ;

namespace mimosadeck::system_test {
namespace internal {
namespace {

constexpr std::chrono::seconds kStartTimeout{30};
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr std::chrono::milliseconds kFilePollInterval{2};
constexpr std::string_view kOperatorKey = "operator key of the system tests";
constexpr net::call_limits kCallTimeouts{std::chrono::milliseconds(2000),
                                         std::chrono::milliseconds(30000)};

std::string BinaryDirectory() {
  const char* directory = std::getenv("MIMOSADECK_BUILD");
  return directory ? directory : ".";
}

std::string SourceDirectory() {
  const char* directory = std::getenv("MIMOSADECK_SOURCE");
  return directory ? directory : ".";
}

}  // namespace
}  // namespace internal

struct process::impl {
  pid_t pid{};
  int output{-1};
  std::string received;
  /** The output is a file, which is polled for growth. */
  bool is_file{};
  bool ended{};
  int status{};
};

process::process(const std::string& name,
                 const std::vector<std::string>& command,
                 const process_options& options)
    : impl_(std::make_unique<impl>()) {
  int output = -1;
  if (options.log_file.empty()) {
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
      throw std::runtime_error("cannot create a pipe for " + name);
    }
    impl_->output = pipe_ends[0];
    output = pipe_ends[1];
  } else {
    output = open(options.log_file.c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    impl_->output = open(options.log_file.c_str(), O_RDONLY | O_CLOEXEC);
    if (output < 0 || impl_->output < 0) {
      throw std::runtime_error("cannot open the log file of " + name);
    }
    lseek(impl_->output, 0, SEEK_END);
    impl_->is_file = true;
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  // A child that inherits the listening socket of a stand-in server would keep
  // the socket open after the stand-in ends.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments;
  for (const auto& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (char** variable = environ; *variable; ++variable) {
    variables.push_back(*variable);
  }
  for (const auto& variable : options.environment) {
    variables.push_back(const_cast<char*>(variable.c_str()));
  }
  variables.push_back(nullptr);
  const int failed = posix_spawn(&impl_->pid, arguments[0], &actions, nullptr,
                                 arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  close(output);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + command[0]);
  }
}

process::~process() {
  if (IsRunning()) {
    kill(impl_->pid, SIGKILL);
    static_cast<void>(Wait());
  }
  close(impl_->output);
}

std::string process::LineWith(const std::string& text) {
  while (true) {
    const auto found = impl_->received.find(text);
    const auto end =
        found == std::string::npos ? found : impl_->received.find('\n', found);
    if (end != std::string::npos) {
      const auto before = impl_->received.rfind('\n', found);
      const auto start = before == std::string::npos ? 0 : before + 1;
      return impl_->received.substr(start, end - start);
    }
    std::array<char, 4096> buffer{};
    const auto size = ::read(impl_->output, buffer.data(), buffer.size());
    if (size == 0 && impl_->is_file && IsRunning()) {
      std::this_thread::sleep_for(internal::kFilePollInterval);
      continue;
    }
    if (size <= 0) {
      throw std::runtime_error("process ended before it printed " + text);
    }
    impl_->received.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

std::string process::Value(const std::string& word) {
  const auto line = LineWith(word + "=");
  return line.substr(line.find(word + "=") + word.size() + 1);
}

void process::Signal(int number) const {
  kill(impl_->pid, number);
}

int process::Id() const {
  return impl_->pid;
}

std::uint64_t process::PeakMemory() const {
  constexpr std::uint64_t kBytesPerKb = 1024;
  std::ifstream status("/proc/" + std::to_string(impl_->pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoull(line.substr(line.find_first_of("0123456789"))) *
             kBytesPerKb;
    }
  }
  throw std::runtime_error("the process states no peak memory");
}

int process::Wait() {
  if (!impl_->ended) {
    int status = 0;
    waitpid(impl_->pid, &status, 0);
    impl_->ended = true;
    impl_->status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return impl_->status;
}

bool process::IsRunning() {
  if (impl_->ended) {
    return false;
  }
  int status = 0;
  if (waitpid(impl_->pid, &status, WNOHANG) == impl_->pid) {
    impl_->ended = true;
    impl_->status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return !impl_->ended;
}

boost::json::value answer::Json() const {
  boost::system::error_code failure;
  auto parsed = boost::json::parse(body, failure);
  return failure ? boost::json::value() : parsed;
}

int answer::Code() const {
  const auto parsed = Json();
  const auto* object = parsed.if_object();
  const auto* error_body = object ? object->if_contains("error") : nullptr;
  return error_body ? error_body->at("code").to_number<int>() : 0;
}

std::string answer::Executed() const {
  const auto parsed = Json();
  const auto* object = parsed.if_object();
  const auto* error_body = object ? object->if_contains("error") : nullptr;
  return error_body
             ? boost::json::value_to<std::string>(error_body->at("executed"))
             : std::string{};
}

answer Call(const std::string& address,
            const std::string& method,
            const std::string& target,
            const std::string& body,
            const net::http_fields& fields) {
  net::http_request request;
  request.method = method;
  request.target = target;
  request.fields = fields;
  request.body = body;
  boost::asio::io_context context;
  auto future = boost::asio::co_spawn(
      context,
      net::CallOnce(address, std::move(request), internal::kCallTimeouts),
      boost::asio::use_future);
  context.run();
  const auto outcome = future.get();
  answer out;
  if (const auto* response = std::get_if<net::http_response>(&outcome)) {
    out.status = response->status;
    out.body = response->body;
    out.fields = response->fields;
  } else {
    out.failed = true;
  }
  return out;
}

bool Eventually(std::chrono::milliseconds timeout,
                const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(internal::kPollInterval);
  }
  return true;
}

deployment::deployment(const deployment_shape& shape) : shape_(shape) {
  const auto binaries = internal::BinaryDirectory();
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mimosadeck-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  processes_["platform"] = std::make_unique<process>(
      "platform",
      std::vector<std::string>{binaries + "/test/stand_in_platform"});
  platform_ = processes_["platform"]->Value("ADDRESS");
  for (const auto& data_centre : shape_.data_centres) {
    for (int i = 0; i < shape_.engines_per_data_centre; ++i) {
      const std::string id = "engine-" + data_centre + "-" + std::to_string(i);
      processes_[id] = std::make_unique<process>(
          id, std::vector<std::string>{binaries + "/test/stand_in_engine",
                                       "--id", id, "--data-centre", data_centre,
                                       "--model", "notes-small", "--token-ms",
                                       std::to_string(shape_.token_interval_ms),
                                       "--platform", platform_});
      addresses_[id] = processes_[id]->Value("ADDRESS");
      upstreams_.push_back(id);
    }
    const std::string id = "seats-" + data_centre;
    processes_[id] = std::make_unique<process>(
        id,
        std::vector<std::string>{binaries + "/test/stand_in_service", "--id",
                                 id, "--data-centre", data_centre, "--service",
                                 "seats", "--platform", platform_});
    addresses_[id] = processes_[id]->Value("ADDRESS");
    upstreams_.push_back(id);
  }
  for (const auto& data_centre : shape_.data_centres) {
    StartEntry("entry-" + data_centre, data_centre);
    entries_.push_back("entry-" + data_centre);
  }
  const auto file = settings::LoadSettings(internal::SourceDirectory() +
                                           "/examples/tamxaritu.jsonc");
  boost::json::array changes;
  for (const auto& item : std::get<settings::settings_file>(file).fleet) {
    if (!item.path.starts_with("upstreams/")) {
      changes.push_back(boost::json::object{
          {"path", item.path}, {"value", boost::json::parse(*item.value)}});
    }
  }
  const bool imported = Eventually(internal::kStartTimeout, [&] {
    return SubmitChange(entries_.front(), changes, 0).status == 200;
  });
  if (!imported || !WaitUntilReady()) {
    throw std::runtime_error("the deployment did not become ready");
  }
}

deployment::~deployment() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void deployment::StartEntry(const std::string& id,
                            const std::string& data_centre) {
  processes_.erase(id);
  boost::json::object daemon{
      {"id", id},
      {"data_centre", data_centre},
      {"caller_address", "127.0.0.1:0"},
      {"operator_address", "127.0.0.1:0"},
      {"peer_address", "127.0.0.1:0"},
      {"platform_address", platform_},
      {"fleet_secret", "secret of the system tests"},
      {"operator_key_sha256", Sha256Hex(std::string(internal::kOperatorKey))}};
  if (!shape_.extra_settings.empty()) {
    const auto extra = boost::json::parse(shape_.extra_settings);
    for (const auto& [name, value] : extra.as_object()) {
      daemon[name] = value;
    }
  }
  const std::string path = directory_ + "/" + id + ".jsonc";
  std::ofstream(path) << boost::json::serialize(
      boost::json::object{{"daemon", daemon}});
  static_cast<void>(Call(platform_, "POST", "/control/vm",
                         boost::json::serialize(boost::json::object{
                             {"id", id},
                             {"role", "entry"},
                             {"state", "live"},
                             {"data_centre", data_centre}})));
  processes_[id] = std::make_unique<process>(
      id, std::vector<std::string>{
              internal::BinaryDirectory() + "/apps/mimosadeckd", path});
  addresses_[id] = processes_[id]->Value("CALLERS");
  operators_[id] = processes_[id]->Value("OPERATORS");
}

answer deployment::CallOperator(const std::string& entry,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body) const {
  return Call(
      operators_.at(entry), method, target, body,
      {{"authorization", "Bearer " + std::string(internal::kOperatorKey)}});
}

answer deployment::SubmitChange(const std::string& entry,
                                const boost::json::array& changes,
                                std::int64_t expected) const {
  if (expected < 0) {
    const auto present = CallOperator(entry, "GET", "/admin/v1/config");
    if (present.failed || present.status != 200) {
      return present;
    }
    expected = present.Json().at("version").to_number<std::int64_t>();
  }
  return CallOperator(
      entry, "POST", "/admin/v1/changes",
      boost::json::serialize(boost::json::object{{"expected_version", expected},
                                                 {"author", "test"},
                                                 {"changes", changes}}));
}

std::string deployment::IssueKey(const std::string& account) {
  constexpr std::size_t kBytes = 16;
  const std::string key = "mk_" + RandomHex(kBytes);
  const auto issued = SubmitChange(
      entries_.front(),
      {boost::json::object{
          {"path", settings::KeyPath(Sha256Hex(key))},
          {"value",
           boost::json::object{{"account", account}, {"withdrawn", false}}}}});
  if (issued.status != 200) {
    throw std::runtime_error("issuing the key failed: " + issued.body);
  }
  const auto version = issued.Json().at("version").to_number<std::int64_t>();
  const bool known = Eventually(internal::kStartTimeout, [&] {
    return std::all_of(
        entries_.begin(), entries_.end(), [&](const std::string& id) {
          const auto present = CallOperator(id, "GET", "/admin/v1/status");
          return present.status == 200 &&
                 present.Json().at("version").to_number<std::int64_t>() >=
                     version;
        });
  });
  if (!known) {
    throw std::runtime_error("the key did not reach every entry");
  }
  return key;
}

int deployment::WithdrawKey(const std::string& key, const std::string& entry) {
  const auto path = settings::KeyPath(Sha256Hex(key));
  const auto present = CallOperator(entry, "GET", "/admin/v1/config").Json();
  boost::json::object value =
      present.at("entries").as_object().at(path).as_object();
  value["withdrawn"] = true;
  return SubmitChange(entry,
                      {boost::json::object{{"path", path}, {"value", value}}})
      .status;
}

answer deployment::Chat(const std::string& entry,
                        const std::string& key,
                        int tokens,
                        const std::string& prompt,
                        const std::string& class_name) const {
  net::http_fields fields{{"authorization", "Bearer " + key}};
  if (!class_name.empty()) {
    fields["x-request-class"] = class_name;
  }
  return Call(addresses_.at(entry), "POST", "/v1/chat/completions",
              boost::json::serialize(boost::json::object{
                  {"model", "notes-small"},
                  {"max_tokens", tokens},
                  {"messages", boost::json::array{boost::json::object{
                                   {"role", "user"}, {"content", prompt}}}}}),
              fields);
}

answer deployment::Book(const std::string& entry,
                        const std::string& key,
                        const std::string& idempotency_key,
                        const std::string& body) const {
  return Call(addresses_.at(entry), "POST", "/services/seats/book", body,
              {{"authorization", "Bearer " + key},
               {"x-request-class", "confirmation"},
               {"idempotency-key", idempotency_key}});
}

void deployment::SetPlatformFaults(const std::string& faults) const {
  static_cast<void>(Call(platform_, "POST", "/control", faults));
}

boost::json::value deployment::InspectPlatform() const {
  return Call(platform_, "GET", "/inspect").Json();
}

void deployment::ControlUpstream(const std::string& id,
                                 const std::string& message) const {
  static_cast<void>(Call(addresses_.at(id), "POST", "/control", message));
}

boost::json::value deployment::InspectUpstream(const std::string& id) const {
  return Call(addresses_.at(id), "GET", "/inspect").Json();
}

void deployment::SetVmState(const std::string& id,
                            const std::string& state) const {
  const bool engine = id.starts_with("engine-");
  const auto data_centre =
      engine ? id.substr(id.find('-') + 1, id.rfind('-') - id.find('-') - 1)
             : id.substr(id.find('-') + 1);
  constexpr int kSlots = 4;
  static_cast<void>(Call(platform_, "POST", "/control/vm",
                         boost::json::serialize(boost::json::object{
                             {"id", id},
                             {"role", engine ? "engine" : "service"},
                             {"state", state},
                             {"address", addresses_.at(id)},
                             {"data_centre", data_centre},
                             {"pool", engine ? "notes-small" : "seats"},
                             {"slots", kSlots}})));
}

std::int64_t deployment::CountRuns(const std::string& body) const {
  std::int64_t total = 0;
  for (const auto& id : upstreams_) {
    if (id.starts_with("seats-")) {
      const auto seen = InspectUpstream(id);
      const auto* count = seen.at("runs").as_object().if_contains(body);
      total += count ? count->to_number<std::int64_t>() : 0;
    }
  }
  return total;
}

std::string deployment::CallerAddress(const std::string& entry) const {
  return addresses_.at(entry);
}

process& deployment::EntryProcess(const std::string& id) {
  return *processes_.at(id);
}

bool deployment::WaitUntilReady() const {
  constexpr std::int64_t kShardCount = 32;
  return Eventually(internal::kStartTimeout, [&] {
    std::int64_t shards = 0;
    for (const auto& id : entries_) {
      const auto status = CallOperator(id, "GET", "/admin/v1/status");
      if (status.failed || status.status != 200) {
        continue;
      }
      const auto body = status.Json();
      shards += body.at("booking_shards").to_number<std::int64_t>();
      const auto entries = Call(addresses_.at(id), "GET", "/v1/entries").Json();
      if (entries.at("entries").as_array().size() < entries_.size() ||
          body.at("version").to_number<std::int64_t>() == 0) {
        return false;
      }
    }
    return shards == kShardCount;
  });
}

}  // namespace mimosadeck::system_test
