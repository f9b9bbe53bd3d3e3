#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/digest.h"
#include "base/fwd.h"
#include "base/result.h"
#include "base/time.h"
#include "base/turns.h"

#endif  // BASE_BASE_H_
