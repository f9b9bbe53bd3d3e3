#ifndef ADMISSION_ADMISSION_H_
#define ADMISSION_ADMISSION_H_

#include "admission/fwd.h"
#include "admission/limits.h"
#include "admission/queue.h"

#endif  // ADMISSION_ADMISSION_H_
