#ifndef EVACUATION_FWD_H_
#define EVACUATION_FWD_H_

namespace mimosadeck::evacuation {

struct evacuation_table;
struct options;
struct record;

}  // namespace mimosadeck::evacuation

#endif  // EVACUATION_FWD_H_
