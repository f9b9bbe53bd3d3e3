#ifndef APPS_MIMOSADECKD_EDGE_DAEMON_H_
#define APPS_MIMOSADECKD_EDGE_DAEMON_H_

#include <string>

#include "platform/platform.h"

namespace mimosadeck::edge {

/**
 * @brief Runs an entry on the users' platform until it is stopped.
 * @param machine Settings of the machine.
 * @param settings_path File that is read again at SIGHUP.
 * @param metrics_port Port of the machine's address that serves metrics.
 * @return Exit status.
 */
[[nodiscard]] int RunEdge(platform::machine_settings machine,
                          const std::string& settings_path,
                          const std::string& metrics_port);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_DAEMON_H_
