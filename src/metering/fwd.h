#ifndef METERING_FWD_H_
#define METERING_FWD_H_

namespace mimosadeck::metering {

struct report_log;
struct tally;

}  // namespace mimosadeck::metering

#endif  // METERING_FWD_H_
