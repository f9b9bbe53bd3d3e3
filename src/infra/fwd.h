#ifndef INFRA_FWD_H_
#define INFRA_FWD_H_

namespace mimosadeck::infra {

struct row;
struct condition;
struct write;
struct commit;
struct vm;
struct place_order;
struct report_usage;

}  // namespace mimosadeck::infra

#endif  // INFRA_FWD_H_
