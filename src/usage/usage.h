#ifndef USAGE_USAGE_H_
#define USAGE_USAGE_H_

#include "usage/biller.h"
#include "usage/fwd.h"
#include "usage/ledger.h"

#endif  // USAGE_USAGE_H_
