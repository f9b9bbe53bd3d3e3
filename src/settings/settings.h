#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

#include "settings/file.h"
#include "settings/fwd.h"
#include "settings/tree.h"

#endif  // SETTINGS_SETTINGS_H_
