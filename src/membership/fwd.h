#ifndef MEMBERSHIP_FWD_H_
#define MEMBERSHIP_FWD_H_

#include <cstdint>

namespace mimosadeck::membership {

enum class member_state : std::uint32_t;
struct options;
struct member;
struct view;

}  // namespace mimosadeck::membership

#endif  // MEMBERSHIP_FWD_H_
