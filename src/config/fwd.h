#ifndef CONFIG_FWD_H_
#define CONFIG_FWD_H_

namespace mimosadeck::config {

struct change;
struct change_set;
struct document;
struct replica;
struct poll;
struct edit;

}  // namespace mimosadeck::config

#endif  // CONFIG_FWD_H_
