#ifndef APPS_MIMOSADECKD_EDGE_TASKS_H_
#define APPS_MIMOSADECKD_EDGE_TASKS_H_

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace mimosadeck::edge {

/**
 * @brief Starts a task that nothing waits for. An exception ends the task and
 * is logged.
 * @param name Name of the task, for the log.
 */
void Spawn(boost::asio::io_context& io,
           std::string name,
           boost::asio::awaitable<void> task);

/**
 * @brief Starts a loop that must not stop before the process does. After an
 * exception, which is logged, the loop starts again; it ends when it returns.
 * @param name Name of the loop, for the log.
 * @param loop Makes the loop; called for each start.
 */
void KeepRunning(boost::asio::io_context& io,
                 std::string name,
                 std::function<boost::asio::awaitable<void>()> loop);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_TASKS_H_
