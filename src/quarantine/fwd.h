#ifndef QUARANTINE_FWD_H_
#define QUARANTINE_FWD_H_

namespace mimosadeck::quarantine {

struct crash_log;
struct options;
struct part_record;
struct suspect;
struct suspect_selection;
struct suspect_table;

}  // namespace mimosadeck::quarantine

#endif  // QUARANTINE_FWD_H_
