#ifndef SETTINGS_FWD_H_
#define SETTINGS_FWD_H_

namespace mimosadeck::settings {

struct daemon_settings;
struct class_settings;
struct account_settings;
struct key_entry;
struct settings_file;

}  // namespace mimosadeck::settings

#endif  // SETTINGS_FWD_H_
