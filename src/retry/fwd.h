#ifndef RETRY_FWD_H_
#define RETRY_FWD_H_

namespace mimosadeck::retry {

struct limit;
struct budget;

}  // namespace mimosadeck::retry

#endif  // RETRY_FWD_H_
