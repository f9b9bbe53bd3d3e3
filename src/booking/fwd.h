#ifndef BOOKING_FWD_H_
#define BOOKING_FWD_H_

namespace mimosadeck::booking {

struct options;
struct record;
struct shard_row;
struct shard;
struct copy_store;

}  // namespace mimosadeck::booking

#endif  // BOOKING_FWD_H_
