#ifndef FORWARDING_FWD_H_
#define FORWARDING_FWD_H_

namespace mimosadeck::forwarding {

enum class attempt_end;
enum class next_step;
class held_bytes;
struct progress;
struct response_memory;

}  // namespace mimosadeck::forwarding

#endif  // FORWARDING_FWD_H_
