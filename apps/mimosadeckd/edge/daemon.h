#ifndef APPS_MIMOSADECKD_EDGE_DAEMON_H_
#define APPS_MIMOSADECKD_EDGE_DAEMON_H_

#include <string>

#include "platform/platform.h"

namespace mimosadeck::edge {

/**
 * @brief Runs an entry on the users' platform until it is stopped.
 * @param machine Settings of the VM.
 * @param settings_path Settings file, reloaded on SIGHUP.
 * @param metrics_port Port on the VM's address that serves metrics.
 * @return Exit status of the process.
 */
[[nodiscard]] int RunEdge(platform::machine_settings machine,
                          const std::string& settings_path,
                          const std::string& metrics_port);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_DAEMON_H_
