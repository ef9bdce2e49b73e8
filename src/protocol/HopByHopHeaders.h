#pragma once

#include <string_view>

namespace chicoryferry {

// True for header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1), and for the
// fields that describe the framing of a body. The comparison is case-insensitive.
bool isHopByHopHeader(std::string_view name);

// Case-insensitive comparison of ASCII text.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Case-insensitive check whether ASCII text starts with the prefix.
bool startsWithIgnoringCase(std::string_view text, std::string_view prefix);

}
