#ifndef BOOKING_BOOKING_H_
#define BOOKING_BOOKING_H_

#include "booking/copies.h"
#include "booking/fwd.h"
#include "booking/record.h"
#include "booking/shard.h"

#endif  // BOOKING_BOOKING_H_
