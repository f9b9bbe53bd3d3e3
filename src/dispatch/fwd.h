#ifndef DISPATCH_FWD_H_
#define DISPATCH_FWD_H_

namespace mimosadeck::dispatch {

struct options;
struct upstream;
struct request;
struct pool;

}  // namespace mimosadeck::dispatch

#endif  // DISPATCH_FWD_H_
