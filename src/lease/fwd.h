#ifndef LEASE_FWD_H_
#define LEASE_FWD_H_

namespace mimosadeck::lease {

enum class takeover_rule;
enum class role;
struct options;
struct record;
struct contender;

}  // namespace mimosadeck::lease

#endif  // LEASE_FWD_H_
