#ifndef TEST_PLATFORM_STORE_STAND_IN_H_
#define TEST_PLATFORM_STORE_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/net.h"

namespace mimosadeck::platform_test {

/** @brief Fault that the stand-in shows on every call. */
enum class store_fault {
  none,
  /** Responds 503 without carrying the call out. */
  busy,
  /** Responds 429 without carrying the call out. */
  too_many,
  /** Closes the connection without a response, before carrying the call out. */
  reset,
  /** Carries the call out, then closes the connection without a response. */
  answer_lost,
  /** Never responds; does not carry the call out. */
  silent,
  /** Responds with malformed JSON; does not carry the call out. */
  garbage,
};

/** @brief A usage report that was received. */
struct usage_report {
  std::string holder;
  std::uint64_t fencing{};
  std::string body;
  /** False if a report with a higher fencing number came before. */
  bool accepted{};
};

/**
 * @brief Stand-in for the platform's store and duty interface, in memory behind
 * an HTTP server.
 */
class store_stand_in {
 public:
  explicit store_stand_in(boost::asio::io_context& io);

  /** @brief Returns the `IP:PORT` that the server listens on. */
  [[nodiscard]] std::string Address() const;

  /** @brief Writes a row, as the operators or an upstream do. */
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);

  /** @brief Removes a row; the change feed reports the removal. */
  void Drop(const std::string& table, const std::string& key);

  /** @brief Returns whether a row that mimosadeck wrote has this key prefix. */
  [[nodiscard]] bool HasRow(std::string_view prefix) const;

  /** @brief Discards the change history up to now: calls for changes since an
   * older version get 410. */
  void Compact() { oldest_version_ = version_; }

  /** @brief Returns the newest version. */
  [[nodiscard]] std::uint64_t Version() const { return version_; }

  /** @brief Copies all rows, for ReturnFromCopy(). */
  void TakeCopy();

  /**
   * @brief Puts the last copy in place of the rows.
   *
   * Versions continue from those of the copy, so that some are used again. All
   * responses state the next era; calls for changes since a version that the
   * copy does not have get 410.
   */
  void ReturnFromCopy();

  /** Added to the steady clock that responses state. */
  std::chrono::milliseconds clock_offset{std::chrono::hours(1)};
  /** Fault shown until it is set to another value. */
  store_fault fault{store_fault::none};
  /** Era that responses state instead of the real one. */
  std::optional<std::string> stated_era;
  /** Highest fencing number in the reports received. */
  std::uint64_t highest_fencing{};
  std::vector<usage_report> reports;
  /** Targets of all calls, in order. */
  std::vector<std::string> calls;

 private:
  struct versioned_value {
    std::string value;
    std::uint64_t version{};
    bool removed{};
  };
  /** Table and key. */
  using row_name = std::pair<std::string, std::string>;

  boost::asio::awaitable<void> Answer(net::http_request request,
                                      net::exchange& exchange);
  boost::asio::awaitable<net::http_response> Respond(
      const net::http_request& request);
  net::http_response Execute(const net::http_request& request);
  net::http_response Commit(const net::http_request& request);
  net::http_response Get(const std::string& target);
  net::http_response Report(const net::http_request& request);
  boost::asio::awaitable<net::http_response> Feed(std::string target);
  [[nodiscard]] std::int64_t ClockMs() const;

  std::uint64_t version_{10};
  /** Oldest version since which changes can be read. */
  std::uint64_t oldest_version_{0};
  std::map<row_name, versioned_value> rows_;
  std::uint64_t era_{1};
  std::uint64_t copied_version_{};
  std::map<row_name, versioned_value> copied_rows_;
  std::unique_ptr<net::http_server> server_;
};

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_STORE_STAND_IN_H_
