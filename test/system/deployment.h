#ifndef TEST_SYSTEM_DEPLOYMENT_H_
#define TEST_SYSTEM_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "net/net.h"

namespace mimosadeck::system_test {

/** @brief How a child process is started. */
struct process_options {
  /** File to which its output is appended; empty for a pipe to this process. */
  std::string log_file;
  /** `NAME=VALUE`, added to this process' environment. */
  std::vector<std::string> environment;
};

/** @brief A child process whose first lines name its addresses. */
class process {
 public:
  process(const std::string& name,
          const std::vector<std::string>& command,
          const process_options& options = {});
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /** @brief Waits for the line `WORD=...` and returns the rest. */
  [[nodiscard]] std::string Value(const std::string& word);

  /** @brief Waits for a line that holds a text. */
  [[nodiscard]] std::string LineWith(const std::string& text);

  /** @brief Sends a signal. */
  void Signal(int number) const;

  /** @brief Waits for the end. @return Exit status, or -signal. */
  [[nodiscard]] int Wait();

  /** @brief Tells whether the process still runs. */
  [[nodiscard]] bool IsRunning();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** @brief A response, or nothing if the call failed. */
struct answer {
  int status{};
  std::string body;
  net::http_fields fields;
  bool failed{};

  /** @brief Parses the body. */
  [[nodiscard]] boost::json::value Json() const;

  /** @brief Returns the number of an error, or 0. */
  [[nodiscard]] int Code() const;

  /** @brief Returns the `executed` member of an error. */
  [[nodiscard]] std::string Executed() const;
};

/** @brief Calls a server and waits. */
[[nodiscard]] answer Call(const std::string& address,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body = {},
                          const net::http_fields& fields = {});

/** @brief Repeats until true. @return False if the limit passed. */
[[nodiscard]] bool Eventually(std::chrono::milliseconds limit,
                              const std::function<bool()>& holds);

/** @brief How large a deployment is. */
struct deployment_shape {
  std::vector<std::string> centres{"dakar-a", "dakar-b", "dakar-c"};
  int engines_each{1};
  int token_millis{10};
  /** Members for the daemons' settings, as JSON text. */
  std::string extra_settings;
};

/** @brief A deployment on loopback: platform, engines, services, entries. */
class deployment {
 public:
  explicit deployment(const deployment_shape& shape = {});
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /** @brief Starts one more entry, or a stopped one again. */
  void StartEntry(const std::string& id, const std::string& centre);

  /** @brief Issues a key. */
  [[nodiscard]] std::string IssueKey(const std::string& account);

  /** @brief Withdraws a key through an entry. @return HTTP status. */
  [[nodiscard]] int WithdrawKey(const std::string& key,
                                const std::string& entry);

  /** @brief Sends a chat completion. */
  [[nodiscard]] answer Chat(const std::string& entry,
                            const std::string& key,
                            int tokens,
                            const std::string& prompt = "hello",
                            const std::string& class_name = {}) const;

  /** @brief Sends a booking. */
  [[nodiscard]] answer Book(const std::string& entry,
                            const std::string& key,
                            const std::string& idempotency_key,
                            const std::string& body) const;

  /** @brief Sends a change as an operator. */
  [[nodiscard]] answer Change(const std::string& entry,
                              const boost::json::array& changes,
                              std::int64_t expected = -1) const;

  /** @brief Asks an operator interface. */
  [[nodiscard]] answer Operator(const std::string& entry,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body = {}) const;

  /** @brief Sets faults of the platform. */
  void Platform(const std::string& faults) const;

  /** @brief Reads what the platform has seen. */
  [[nodiscard]] boost::json::value InspectPlatform() const;

  /** @brief Sends a control message to an upstream. */
  void Upstream(const std::string& id, const std::string& message) const;

  /** @brief Reads what an upstream has seen. */
  [[nodiscard]] boost::json::value InspectUpstream(const std::string& id) const;

  /** @brief Sets the state of an upstream in the VM list. */
  void SetVmState(const std::string& id, const std::string& state) const;

  /** @brief Counts how often a booking body ran, at all workers together. */
  [[nodiscard]] std::int64_t Runs(const std::string& body) const;

  /** @brief Address for callers of an entry. */
  [[nodiscard]] std::string Callers(const std::string& entry) const;

  /** @brief The process of an entry. */
  [[nodiscard]] process& Entry(const std::string& id);

  /** @brief Names of the entries, in the order of the data centres. */
  [[nodiscard]] const std::vector<std::string>& Entries() const {
    return entries_;
  }

  /** @brief Waits until every entry knows every other and all shards serve. */
  [[nodiscard]] bool Settle() const;

 private:
  deployment_shape shape_;
  std::string directory_;
  std::string platform_;
  std::map<std::string, std::unique_ptr<process>> processes_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> operators_;
  std::vector<std::string> entries_;
  std::vector<std::string> upstreams_;
};

}  // namespace mimosadeck::system_test

#endif  // TEST_SYSTEM_DEPLOYMENT_H_
