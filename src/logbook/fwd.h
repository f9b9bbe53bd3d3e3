#ifndef LOGBOOK_FWD_H_
#define LOGBOOK_FWD_H_

namespace mimosadeck::logbook {

struct log_line;
struct request_history;
struct summary;

}  // namespace mimosadeck::logbook

#endif  // LOGBOOK_FWD_H_
