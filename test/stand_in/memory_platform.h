#ifndef TEST_STAND_IN_MEMORY_PLATFORM_H_
#define TEST_STAND_IN_MEMORY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "infra/infra.h"

namespace mimosadeck::stand_in {

/** @brief Faults that a test switches on. */
struct platform_faults {
  bool down{};
  /** So many of the next writes take effect and lose their reply. */
  std::uint32_t lost_replies{};
};

/** @brief An order as the data centre interface took it. */
struct taken_order {
  infra::place_order order;
  bool accepted{};
};

/** @brief A usage report as the interface took it. */
struct taken_report {
  std::string window;
  std::string body;
  std::uint64_t fencing{};
};

/**
 * @brief The platform in memory: the fake of tests and the core of the
 * stand-in process.
 */
struct memory_platform {
  platform_faults faults;
  bool checks_fencing{true};
  std::uint64_t last_version{};
  std::map<std::string, infra::row> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, infra::vm> vms;
  /** VMs that a start order brings into the list. */
  std::map<std::string, infra::vm> parked;
  std::map<std::string, std::uint64_t> highest_fencing;
  std::set<std::string> order_ids;
  std::vector<taken_order> orders;
  std::map<std::string, std::string> reported;
  std::vector<taken_report> reports;
  std::uint64_t reads{};
  std::uint64_t writes{};
};

/** @brief Carries out one request. */
[[nodiscard]] infra::reply Handle(memory_platform& state,
                                  const infra::request& request);

}  // namespace mimosadeck::stand_in

#endif  // TEST_STAND_IN_MEMORY_PLATFORM_H_
