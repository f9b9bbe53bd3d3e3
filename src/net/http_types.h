#ifndef NET_HTTP_TYPES_H_
#define NET_HTTP_TYPES_H_

#include <map>
#include <string>
#include <string_view>

namespace mimosadeck::net {

/** @brief Header fields by lower-case name. */
using http_fields = std::map<std::string, std::string, std::less<>>;

/** @brief A request that a server received or a client sends. */
struct http_request {
  std::string method{"GET"};
  std::string target{"/"};
  http_fields fields;
  std::string body;
};

/** @brief A complete response. */
struct http_response {
  int status{200};
  http_fields fields;
  std::string body;
};

/** @brief Returns a field's value, or an empty string if there is none. */
[[nodiscard]] inline std::string_view FieldOf(const http_fields& fields,
                                              std::string_view name) {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view{} : found->second;
}

/** @brief Returns the path of a request target, without its query. */
[[nodiscard]] inline std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace mimosadeck::net

#endif  // NET_HTTP_TYPES_H_
