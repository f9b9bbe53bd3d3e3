#ifndef TEST_STAND_IN_MEMORY_PLATFORM_H_
#define TEST_STAND_IN_MEMORY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "infra/infra.h"

namespace mimosadeck::stand_in {

/** @brief Faults that a test enables. */
struct platform_faults {
  /** Every request is answered as unavailable. */
  bool down{};
  /** Number of following writes that take effect but whose reply is lost. */
  std::uint32_t lost_replies{};
};

/** @brief A capacity order that the platform received. */
struct received_order {
  infra::place_order order;
  /** False if a higher fencing number had been seen. */
  bool accepted{};
};

/** @brief A usage report that the platform received. */
struct received_report {
  std::string window;
  std::string body;
  std::uint64_t fencing{};
};

/**
 * @brief State of an in-memory platform, used by tests directly and by the
 * stand-in process for the platform.
 */
struct memory_platform {
  platform_faults faults;
  /** Refuses orders with a fencing number below the highest seen. */
  bool checks_fencing{true};
  /** Version of the last commit. */
  std::uint64_t last_version{};
  std::map<std::string, infra::row> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, infra::vm> vms;
  /** VMs that are not running: a start order moves them to `vms`. */
  std::map<std::string, infra::vm> parked;
  /** Highest fencing number seen, by data centre. */
  std::map<std::string, std::uint64_t> highest_fencing;
  /** `DATA-CENTRE/ID` of each order carried out; a repeat has no effect. */
  std::set<std::string> order_ids;
  /** Every order received, in order of arrival. */
  std::vector<received_order> orders;
  /** Body of the first report of each window. */
  std::map<std::string, std::string> reported;
  /** Every report received, in order of arrival. */
  std::vector<received_report> reports;
  /** Number of read requests carried out. */
  std::uint64_t reads{};
  /** Number of row commits and stored objects. */
  std::uint64_t writes{};
};

/** @brief Rows of a platform at one time. */
struct platform_copy {
  std::uint64_t last_version{};
  std::map<std::string, infra::row> rows;
};

/** @brief Copies all rows. */
[[nodiscard]] platform_copy TakeCopy(const memory_platform& state);

/**
 * @brief Puts a copy in place of the rows and begins the next era.
 *
 * Versions continue from those of the copy. Replies state them with the era in
 * the upper bits; conditions are compared without it.
 */
void ReturnFromCopy(memory_platform& state, const platform_copy& copy);

/** @brief Returns the era of the rows. */
[[nodiscard]] std::uint64_t Era(const memory_platform& state);

/**
 * @brief Carries out one request.
 * @return The reply; infra::unknown_outcome if it is lost by a fault.
 */
[[nodiscard]] infra::reply Handle(memory_platform& state,
                                  const infra::request& request);

}  // namespace mimosadeck::stand_in

#endif  // TEST_STAND_IN_MEMORY_PLATFORM_H_
