#ifndef REGISTRY_FWD_H_
#define REGISTRY_FWD_H_

namespace mimosadeck::registry {

struct upstream;
struct upstream_set;

}  // namespace mimosadeck::registry

#endif  // REGISTRY_FWD_H_
