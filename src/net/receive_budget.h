#ifndef NET_RECEIVE_BUDGET_H_
#define NET_RECEIVE_BUDGET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/receive_memory.h"

namespace mimosadeck::net {

/** @brief Memory for the requests of all servers of a process. Thread-safe. */
class receive_budget {
 public:
  explicit receive_budget(receive_options options);
  ~receive_budget();
  receive_budget(const receive_budget&) = delete;
  receive_budget& operator=(const receive_budget&) = delete;

  /** @brief Returns the counted bytes that requests hold now. */
  [[nodiscard]] std::uint64_t UsedBytes() const;

 private:
  friend class receive_claim;
  struct impl;
  std::shared_ptr<impl> impl_;
};

/** @brief The bytes of one request, counted until this object is destroyed. */
class receive_claim {
 public:
  /**
   * @param budget Null if the bytes are not limited.
   * @param cut Called, on any thread, when the request must give up its bytes.
   */
  receive_claim(const receive_budget* budget,
                std::string owner,
                std::function<void()> cut);
  ~receive_claim();
  receive_claim(const receive_claim&) = delete;
  receive_claim& operator=(const receive_claim&) = delete;

  /** @brief Changes whose bytes these are. */
  void SetOwner(std::string owner);

  /**
   * @brief Sets the bytes that the request holds. Up to its reserve nothing is
   * counted.
   * @return False if the request must be cut.
   */
  [[nodiscard]] bool Hold(std::uint64_t bytes);

  /** @brief Protects the request from being cut: it is received completely. */
  void SetWhole(std::uint64_t bytes);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mimosadeck::net

#endif  // NET_RECEIVE_BUDGET_H_
