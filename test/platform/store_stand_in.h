#ifndef TEST_PLATFORM_STORE_STAND_IN_H_
#define TEST_PLATFORM_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/net.h"

namespace mimosadeck::platform_test {

/** @brief How the stand-in answers until it is told otherwise. */
enum class store_fault {
  none,
  /** 503: nothing was done. */
  busy,
  /** 429: nothing was done. */
  too_many,
  /** Closes the connection unanswered; nothing was done. */
  reset,
  /** Carries the call out and closes the connection unanswered. */
  answer_lost,
  /** Says nothing. */
  silent,
  /** Sends bytes that are no JSON. */
  garbage,
};

/** @brief A usage report that arrived. */
struct usage_report {
  std::string holder;
  std::uint64_t fencing{};
  std::string body;
  /** False if its fencing number is older than one that was seen. */
  bool accepted{};
};

/**
 * @brief The platform's store and duty interface, as their pages describe them.
 */
class store_stand_in {
 public:
  explicit store_stand_in(boost::asio::io_context& io);

  [[nodiscard]] std::string Address() const;

  /** @brief Writes a row as the operators or an upstream do. */
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);

  /** @brief Drops a row. */
  void Drop(const std::string& table, const std::string& key);

  /** @brief Tells whether a row of the product's has a key that begins so. */
  [[nodiscard]] bool HasRow(std::string_view prefix) const;

  /** @brief Forgets the history before now. */
  void Compact() { oldest_ = version_; }

  store_fault fault{store_fault::none};
  std::uint64_t highest_fencing{};
  std::vector<usage_report> reports;
  /** Targets of all calls, in order. */
  std::vector<std::string> calls;

 private:
  struct stored {
    std::string value;
    std::uint64_t version{};
    bool removed{};
  };
  using row_name = std::pair<std::string, std::string>;

  boost::asio::awaitable<void> Answer(net::http_request request,
                                      net::exchange& exchange);
  net::http_response Carry(const net::http_request& request);
  net::http_response Commit(const net::http_request& request);
  net::http_response Get(const std::string& target);
  net::http_response Report(const net::http_request& request);
  boost::asio::awaitable<net::http_response> Feed(std::string target);

  std::uint64_t version_{10};
  std::uint64_t oldest_{0};
  std::map<row_name, stored> rows_;
  std::unique_ptr<net::http_server> server_;
};

}  // namespace mimosadeck::platform_test

#endif  // TEST_PLATFORM_STORE_STAND_IN_H_
