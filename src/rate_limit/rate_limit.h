#ifndef RATE_LIMIT_RATE_LIMIT_H_
#define RATE_LIMIT_RATE_LIMIT_H_

#include "rate_limit/fwd.h"
#include "rate_limit/limits.h"
#include "rate_limit/permits.h"
#include "rate_limit/warm_up.h"

#endif  // RATE_LIMIT_RATE_LIMIT_H_
