#ifndef FLEET_FWD_H_
#define FLEET_FWD_H_

namespace mimosadeck::fleet {

struct clock_options;
struct disciplined_clock;
struct member;
struct members;
struct options;
struct work_table;

}  // namespace mimosadeck::fleet

#endif  // FLEET_FWD_H_
