#ifndef NET_HTTP_FIELDS_H_
#define NET_HTTP_FIELDS_H_

#include <cctype>
#include <iterator>
#include <string>
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include "net/http_types.h"

namespace mimosadeck::net::internal {

inline std::string LowerCase(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return out;
}

/** @brief Returns the fields of a message by lower-case name; the values of
 * repeated fields are joined by commas. */
inline http_fields FieldsOf(const boost::beast::http::fields& from) {
  http_fields out;
  for (const auto& field : from) {
    auto& value = out[LowerCase(field.name_string())];
    if (!value.empty()) {
      value += ", ";
    }
    value += std::string(field.value());
  }
  return out;
}

/** @brief Returns true if a message states no transfer coding, or `chunked`
 * alone, which is the only one that is decoded here. */
inline bool HasSupportedTransferCoding(const boost::beast::http::fields& head) {
  const auto codings =
      head.equal_range(boost::beast::http::field::transfer_encoding);
  return codings.first == codings.second ||
         (std::next(codings.first) == codings.second &&
          boost::beast::iequals(codings.first->value(), "chunked"));
}

}  // namespace mimosadeck::net::internal

#endif  // NET_HTTP_FIELDS_H_
