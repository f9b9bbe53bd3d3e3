#ifndef ADMISSION_FWD_H_
#define ADMISSION_FWD_H_

namespace mimosadeck::admission {

struct options;
struct queued_request;
struct queue;
struct bucket;

}  // namespace mimosadeck::admission

#endif  // ADMISSION_FWD_H_
