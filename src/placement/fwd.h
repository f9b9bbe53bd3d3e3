#ifndef PLACEMENT_FWD_H_
#define PLACEMENT_FWD_H_

namespace mimosadeck::placement {

struct job;
struct load;
struct options;
struct pool;
struct selection;

}  // namespace mimosadeck::placement

#endif  // PLACEMENT_FWD_H_
