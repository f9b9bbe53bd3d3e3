#ifndef AVAILABILITY_FWD_H_
#define AVAILABILITY_FWD_H_

namespace mimosadeck::availability {

enum class signal;
struct record_table;
struct options;
struct record;

}  // namespace mimosadeck::availability

#endif  // AVAILABILITY_FWD_H_
