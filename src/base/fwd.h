#ifndef BASE_FWD_H_
#define BASE_FWD_H_

namespace mimosadeck {

enum class result_code : int;
enum class executed : int;
struct error;

}  // namespace mimosadeck

#endif  // BASE_FWD_H_
