#ifndef REVISION_FWD_H_
#define REVISION_FWD_H_

namespace mimosadeck::revision {

struct options;
struct history;
struct change;

}  // namespace mimosadeck::revision

#endif  // REVISION_FWD_H_
