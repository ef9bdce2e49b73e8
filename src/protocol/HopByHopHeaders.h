#pragma once

#include <string_view>

namespace chicoryferry {

// True for header fields that concern one connection only and are not passed on (RFC 9110, section 7.6.1), and for the
// fields that describe the framing of a body. Compares without regard to case.
bool isHopByHopHeader(std::string_view name);

// Compares ASCII text without regard to case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

// True when text starts with the prefix, without regard to case.
bool startsWithIgnoringCase(std::string_view text, std::string_view prefix);

}
