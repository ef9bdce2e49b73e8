#pragma once

#include "protocol/HttpFault.h"
#include "protocol/HttpHead.h"

#include <string_view>
#include <variant>

namespace chicoryferry {

// A validated request head and the properties that the handling of the connection depends on.
struct ParsedRequestHead {
    HttpRequestHead head;
    bool keepAlive { true }; // the connection may be used for further requests
    bool expectsContinue { false };
    bool isVersion10 { false };
};

// The maximum number of header fields in a request.
inline constexpr std::size_t maximumHeaderFields = 100;

// Parses a request head (request line to empty line, each line terminated by CRLF) more strictly than libhttp-parser,
// which accepts bare line feeds, folded lines and spaces before the colon (RFC 9112). Other servers on the path of a
// request may interpret such a head differently and so see other requests than this one (request smuggling).
std::variant<ParsedRequestHead, HttpFault> readHttpRequestHead(std::string_view text);

}
