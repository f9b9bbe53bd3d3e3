#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/document.h"
#include "config/freshness.h"
#include "config/fwd.h"
#include "config/replica.h"

#endif  // CONFIG_CONFIG_H_
