#ifndef RATE_LIMIT_FWD_H_
#define RATE_LIMIT_FWD_H_

namespace mimosadeck::rate_limit {

enum class change;
struct limit;
struct limit_table;
struct options;
struct participants;
struct permit_table;
struct warm_up_bound;

}  // namespace mimosadeck::rate_limit

#endif  // RATE_LIMIT_FWD_H_
