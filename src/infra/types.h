#ifndef INFRA_TYPES_H_
#define INFRA_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosadeck::infra {

/**
 * @brief One row of the table service.
 *
 * A version is the number of the transaction that wrote the row last; it is
 * never reused.
 */
struct row {
  std::string key;
  std::string value;
  std::uint64_t version{};

  friend bool operator==(const row&, const row&) = default;
};

/**
 * @brief Demands a version of a row; version 0 demands that it is absent.
 */
struct condition {
  std::string key;
  std::uint64_t version{};

  friend bool operator==(const condition&, const condition&) = default;
};

/**
 * @brief Sets a row, or removes it when no value is given.
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
 * @brief Reads rows of a prefix in key order. Reply: rows_page.
 */
struct scan_rows {
  std::string prefix;
  std::string after;
  std::uint32_t limit{};
};

/**
 * @brief Writes rows in one transaction if every condition holds.
 *
 * Replies: committed, conflict.
 */
struct commit {
  std::vector<condition> conditions;
  std::vector<write> writes;
};

/** @brief Stores an object, replacing a former one. Reply: object_stored. */
struct put_object {
  std::string name;
  std::string bytes;
};

/** @brief Reads an object. Replies: object_found, object_absent. */
struct get_object {
  std::string name;
};

/** @brief Asks for the VM list. Reply: vm_list. */
struct list_vms {};

/** @brief What an order asks of a data centre. */
enum class order_kind { start, stop };

/**
 * @brief Orders upstreams in a data centre.
 *
 * A repeated `order_id` is carried out once. Replies: order_accepted,
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

/** @brief Any request to the platform. */
using request = std::variant<read_row,
                             scan_rows,
                             commit,
                             put_object,
                             get_object,
                             list_vms,
                             place_order,
                             report_usage>;

/** @brief What a VM is for. */
enum class vm_role { entry, engine, service };

/** @brief Whether a VM may get new work. */
enum class vm_state { live, leaving };

/**
 * @brief One VM of the platform's list.
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

/** @brief The row as it stands. */
struct row_found {
  row found;
};
/** @brief No such row. */
struct row_absent {};
/** @brief Rows in key order; `more` tells that the scan hit its limit. */
struct rows_page {
  std::vector<row> rows;
  bool more{};
};
/** @brief The transaction took effect; written rows have this version. */
struct committed {
  std::uint64_t version{};
};
/** @brief A condition failed; nothing was written. */
struct conflict {
  std::string key;
  std::uint64_t version{};
};
/** @brief The object is stored. */
struct object_stored {};
/** @brief The object's bytes. */
struct object_found {
  std::string bytes;
};
/** @brief No such object. */
struct object_absent {};
/** @brief The VM list, which lags behind the truth. */
struct vm_list {
  std::vector<vm> vms;
};
/** @brief The order is accepted, now or by an earlier copy. */
struct order_accepted {};
/** @brief The order is refused; `fencing` is the highest number seen. */
struct order_refused {
  std::string reason;
  std::uint64_t fencing{};
};
/** @brief The report is accepted, now or by an equal earlier copy. */
struct report_accepted {};
/** @brief The window was reported before with another body. */
struct report_refused {
  std::string reason;
};
/** @brief The request certainly had no effect. */
struct unavailable {};
/**
 * @brief Nobody knows whether the request took effect.
 * @warning Never treat this as failed: read back before acting on it.
 */
struct unknown_outcome {};

/** @brief Any reply of the platform. */
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
