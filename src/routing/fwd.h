#ifndef ROUTING_FWD_H_
#define ROUTING_FWD_H_

namespace mimosadeck::routing {

enum class request_kind;
struct route;
struct manifest;
class table;

}  // namespace mimosadeck::routing

#endif  // ROUTING_FWD_H_
