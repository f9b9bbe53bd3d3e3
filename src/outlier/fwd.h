#ifndef OUTLIER_FWD_H_
#define OUTLIER_FWD_H_

namespace mimosadeck::outlier {

enum class outcome;
struct options;
struct record;

}  // namespace mimosadeck::outlier

#endif  // OUTLIER_FWD_H_
