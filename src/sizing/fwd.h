#ifndef SIZING_FWD_H_
#define SIZING_FWD_H_

namespace mimosadeck::sizing {

struct options;
struct observation;
struct order;
struct planner;

}  // namespace mimosadeck::sizing

#endif  // SIZING_FWD_H_
