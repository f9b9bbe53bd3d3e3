#ifndef NET_READ_BUFFER_H_
#define NET_READ_BUFFER_H_

#include <cstddef>

namespace mimosadeck::net::internal {

/** Size of the read buffer of a client's connection, which holds a head and a
 * piece of the body. Framing without end, such as an endless chunk header,
 * fails when it is full. */
inline constexpr std::size_t kReadAheadBytes = std::size_t{128} << 10U;

}  // namespace mimosadeck::net::internal

#endif  // NET_READ_BUFFER_H_
