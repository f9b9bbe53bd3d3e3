#ifndef TEST_SYSTEM_DEPLOYMENT_H_
#define TEST_SYSTEM_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "net/net.h"

namespace mimosadeck::system_test {

/** @brief Options for starting a child process. */
struct process_options {
  /** File that receives its output; if empty, a pipe to this process. */
  std::string log_file;
  /** `NAME=VALUE` pairs, added to the environment of this process. */
  std::vector<std::string> environment;
};

/**
 * @brief A child process that prints its addresses when it starts.
 *
 * The destructor kills it if it still runs.
 */
class process {
 public:
  process(const std::string& name,
          const std::vector<std::string>& command,
          const process_options& options = {});
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /** @brief Waits for a line with `WORD=` and returns what follows it. */
  [[nodiscard]] std::string Value(const std::string& word);

  /** @brief Waits for a line that contains a text, and returns the line. */
  [[nodiscard]] std::string LineWith(const std::string& text);

  /** @brief Sends a signal. */
  void Signal(int number) const;

  /** @brief Returns the id of the process. */
  [[nodiscard]] int Id() const;

  /** @brief Returns the greatest resident memory so far, in bytes. */
  [[nodiscard]] std::uint64_t PeakMemory() const;

  /** @brief Waits for the process to end. @return Exit status, or -signal. */
  [[nodiscard]] int Wait();

  /** @brief Returns whether the process still runs. */
  [[nodiscard]] bool IsRunning();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** @brief A response, or `failed` if none was received. */
struct answer {
  int status{};
  std::string body;
  net::http_fields fields;
  bool failed{};

  /** @brief Returns the body parsed as JSON; null if it is malformed. */
  [[nodiscard]] boost::json::value Json() const;

  /** @brief Returns the result code of an error response, else 0. */
  [[nodiscard]] int Code() const;

  /** @brief Returns the `executed` member of an error response, else empty. */
  [[nodiscard]] std::string Executed() const;
};

/** @brief Sends an HTTP request and waits for the response. */
[[nodiscard]] answer Call(const std::string& address,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body = {},
                          const net::http_fields& fields = {});

/** @brief Polls a condition until it holds. @return False on timeout. */
[[nodiscard]] bool Eventually(std::chrono::milliseconds timeout,
                              const std::function<bool()>& condition);

/** @brief Size and settings of a deployment. */
struct deployment_shape {
  std::vector<std::string> data_centres{"dakar-a", "dakar-b", "dakar-c"};
  int engines_per_data_centre{1};
  int token_interval_ms{10};
  /** Extra members of the `daemon` settings, as a JSON object. */
  std::string extra_settings;
};

/**
 * @brief A deployment on the loopback interface.
 *
 * Runs stand-ins for the platform, and for engines and a service in each data
 * centre, and one entry per data centre.
 */
class deployment {
 public:
  explicit deployment(const deployment_shape& shape = {});
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /** @brief Starts an entry; one with the same id is stopped first. */
  void StartEntry(const std::string& id, const std::string& data_centre);

  /** @brief Issues a key and waits until every entry has it. */
  [[nodiscard]] std::string IssueKey(const std::string& account);

  /** @brief Withdraws a key via an entry. @return HTTP status. */
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

  /**
   * @brief Submits a configuration change as an operator.
   * @param expected Version that the change is based on; negative: current.
   */
  [[nodiscard]] answer SubmitChange(const std::string& entry,
                                    const boost::json::array& changes,
                                    std::int64_t expected = -1) const;

  /** @brief Calls the operator interface of an entry. */
  [[nodiscard]] answer CallOperator(const std::string& entry,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body = {}) const;

  /** @brief Sets the faults that the platform injects, as JSON. */
  void SetPlatformFaults(const std::string& faults) const;

  /** @brief Returns the state and the received reports of the platform. */
  [[nodiscard]] boost::json::value InspectPlatform() const;

  /** @brief Sends a control message to an upstream, such as a fault mode. */
  void ControlUpstream(const std::string& id, const std::string& message) const;

  /** @brief Returns the received requests and counters of an upstream. */
  [[nodiscard]] boost::json::value InspectUpstream(const std::string& id) const;

  /** @brief Sets the state of an upstream in the VM list. */
  void SetVmState(const std::string& id, const std::string& state) const;

  /** @brief Counts how often a booking body ran, over all services. */
  [[nodiscard]] std::int64_t CountRuns(const std::string& body) const;

  /** @brief Returns the address of an entry for callers. */
  [[nodiscard]] std::string CallerAddress(const std::string& entry) const;

  /** @brief Returns the process of an entry. */
  [[nodiscard]] process& EntryProcess(const std::string& id);

  /** @brief Returns the ids of the entries, in the order of data centres. */
  [[nodiscard]] const std::vector<std::string>& Entries() const {
    return entries_;
  }

  /**
   * @brief Waits until every entry lists all entries and every booking shard is
   * served.
   */
  [[nodiscard]] bool WaitUntilReady() const;

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
