#ifndef USAGE_FWD_H_
#define USAGE_FWD_H_

namespace mimosadeck::usage {

struct amounts;
struct ledger;
struct copy_store;
struct flush;
struct biller;

}  // namespace mimosadeck::usage

#endif  // USAGE_FWD_H_
