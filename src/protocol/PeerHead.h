#pragma once

#include "protocol/HttpHead.h"

#include <optional>

namespace chicoryferry {

namespace wire {
class AnswerHead;
class RequestHead;
}

// Heads in messages between agents. The framing travels as the usual fields (Content-Length, Transfer-Encoding,
// Connection: close), which do not occur among the headers otherwise.
void writeRequestHead(const HttpRequestHead&, wire::RequestHead&);
void writeAnswerHead(const HttpAnswerHead&, wire::AnswerHead&);

// Return nothing when a field is missing or could not be sent over HTTP as it is, for example because it contains a
// line break.
std::optional<HttpRequestHead> readRequestHead(const wire::RequestHead&);
std::optional<HttpAnswerHead> readAnswerHead(const wire::AnswerHead&);

}
