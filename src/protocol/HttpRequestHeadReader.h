#pragma once

#include "protocol/HttpFault.h"
#include "protocol/HttpHead.h"

#include <string_view>
#include <variant>

namespace chicoryferry {

// A checked request head with what the connection needs to know about it.
struct ReadHttpRequestHead {
    HttpRequestHead head;
    bool keepAlive { true }; // the caller allows further requests on the connection
    bool expectsContinue { false };
    bool isVersion10 { false };
};

// The most header fields that a request may have.
inline constexpr std::size_t maximumHeaderFields = 100;

// Checks a request head (request line to empty line, each line ended by CRLF) more strictly than libhttp-parser, which
// takes bare line feeds, folded lines and spaces before the colon (RFC 9112). Other servers on a request's way may
// read such a head differently, and so see other requests than this one.
std::variant<ReadHttpRequestHead, HttpFault> readHttpRequestHead(std::string_view text);

}
