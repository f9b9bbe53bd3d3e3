#ifndef LOGBOOK_FWD_H_
#define LOGBOOK_FWD_H_

namespace mimosadeck::logbook {

struct line;
struct life;
struct summary;

}  // namespace mimosadeck::logbook

#endif  // LOGBOOK_FWD_H_
