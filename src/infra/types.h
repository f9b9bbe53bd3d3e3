#ifndef INFRA_TYPES_H_
#define INFRA_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosadeck::infra {

/**
 * @brief One row of the platform's transactional store.
 *
 * The version is the number of the transaction that last wrote the row. It is
 * never reused.
 */
struct row {
  std::string key;
  std::string value;
  std::uint64_t version{};

  friend bool operator==(const row&, const row&) = default;
};

/**
 * @brief Requires that a row has a version; version 0 requires that it is
 * absent.
 */
struct condition {
  std::string key;
  std::uint64_t version{};

  friend bool operator==(const condition&, const condition&) = default;
};

/**
 * @brief Sets the value of a row, or removes the row if there is no value.
 */
struct write {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const write&, const write&) = default;
};

/** @brief Reads one row. Replies: row_found, row_absent. */
struct read_row {
  std::string key;
};

/**
 * @brief Reads the rows with a key prefix after a key, in key order. Reply:
 * rows_page.
 */
struct scan_rows {
  std::string prefix;
  std::string after;
  std::uint32_t limit{};
};

/**
 * @brief Writes rows in one transaction if all conditions hold.
 *
 * Replies: committed, conflict.
 */
struct commit {
  std::vector<condition> conditions;
  std::vector<write> writes;
};

/** @brief Stores an object; replaces an existing one. Reply: object_stored. */
struct put_object {
  std::string name;
  std::string bytes;
};

/** @brief Reads an object. Replies: object_found, object_absent. */
struct get_object {
  std::string name;
};

/** @brief Requests the VM list. Reply: vm_list. */
struct list_vms {};

/** @brief Whether an order starts or stops upstreams. */
enum class order_kind { start, stop };

/**
 * @brief Orders a data centre to start or stop upstreams.
 *
 * Orders with the same `order_id` are executed once. Replies: order_accepted,
 * order_refused.
 */
struct place_order {
  std::string data_centre;
  std::string order_id;
  std::uint64_t fencing{};
  order_kind kind{order_kind::start};
  std::string pool;
  std::uint32_t count{};
  bool cheaper{};

  friend bool operator==(const place_order&, const place_order&) = default;
};

/**
 * @brief Reports the usage of one billing window.
 *
 * Replies: report_accepted, report_refused.
 */
struct report_usage {
  std::string window;
  std::uint64_t fencing{};
  std::string body;
};

/** @brief A request to the platform. */
using request = std::variant<read_row,
                             scan_rows,
                             commit,
                             put_object,
                             get_object,
                             list_vms,
                             place_order,
                             report_usage>;

/** @brief Role of a VM. */
enum class vm_role { entry, engine, service };

/** @brief State of a VM; one that is leaving gets no new work. */
enum class vm_state { live, leaving };

/**
 * @brief A VM of the platform's list.
 */
struct vm {
  std::string id;
  vm_role role{vm_role::entry};
  vm_state state{vm_state::live};
  std::string address;
  std::string data_centre;
  std::string pool;
  std::uint32_t slots{};
  bool cheaper{};

  friend bool operator==(const vm&, const vm&) = default;
};

/** @brief The current row. */
struct row_found {
  row found;
};
/** @brief The row does not exist. */
struct row_absent {};
/** @brief Rows in key order; `more` is true if the scan reached its limit. */
struct rows_page {
  std::vector<row> rows;
  bool more{};
};
/** @brief The transaction was committed; written rows have this version. */
struct committed {
  std::uint64_t version{};
};
/** @brief A condition failed and nothing was written. `key` and `version` are
 * the row of the condition and its actual version. */
struct conflict {
  std::string key;
  std::uint64_t version{};
};
/** @brief The object was stored. */
struct object_stored {};
/** @brief The object's bytes. */
struct object_found {
  std::string bytes;
};
/** @brief The object does not exist. */
struct object_absent {};
/** @brief The VM list, which may be out of date. */
struct vm_list {
  std::vector<vm> vms;
};
/** @brief The order was accepted, by this request or an earlier one with its
 * id. */
struct order_accepted {};
/** @brief The order was refused; `fencing` is the highest fencing number
 * received. */
struct order_refused {
  std::string reason;
  std::uint64_t fencing{};
};
/** @brief The report was accepted, by this request or an equal earlier one. */
struct report_accepted {};
/** @brief The window was already reported with a different body. */
struct report_refused {
  std::string reason;
};
/** @brief The request had no effect. */
struct unavailable {};
/**
 * @brief It is unknown whether the request took effect.
 * @warning Never treat this as a failure: read the state back first.
 */
struct unknown_outcome {};

/** @brief A reply of the platform. */
using reply = std::variant<row_found,
                           row_absent,
                           rows_page,
                           committed,
                           conflict,
                           object_stored,
                           object_found,
                           object_absent,
                           vm_list,
                           order_accepted,
                           order_refused,
                           report_accepted,
                           report_refused,
                           unavailable,
                           unknown_outcome>;

}  // namespace mimosadeck::infra

#endif  // INFRA_TYPES_H_
