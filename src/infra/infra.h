#ifndef INFRA_INFRA_H_
#define INFRA_INFRA_H_

#include "infra/fwd.h"
#include "infra/json_codec.h"
#include "infra/types.h"

#endif  // INFRA_INFRA_H_
