#pragma once

#include "protocol/HttpHead.h"

#include <optional>

namespace chicoryferry {

namespace wire {
class AnswerHead;
class RequestHead;
}

// Conversion of HTTP heads to and from peer messages. The framing is encoded as the usual header fields
// (Content-Length, Transfer-Encoding, Connection: close), which the headers of a head never contain.
void writeRequestHead(const HttpRequestHead&, wire::RequestHead&);
void writeAnswerHead(const HttpAnswerHead&, wire::AnswerHead&);

// Return nothing if a field is missing or cannot be sent over HTTP unchanged, for example because it contains a line
// break.
std::optional<HttpRequestHead> readRequestHead(const wire::RequestHead&);
std::optional<HttpAnswerHead> readAnswerHead(const wire::AnswerHead&);

}
