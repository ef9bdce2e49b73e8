#pragma once

#include "protocol/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryferry {

// How an answer's body is written to a caller.
struct AnswerFraming {
    bool hasBody { true };
    bool chunked { false };
    // Bytes of the body still to be written; unset when the length is not known beforehand.
    std::optional<std::uint64_t> remaining;
    // The end of the connection is the end of the body, because an HTTP/1.0 caller reads no chunks.
    bool untilClose { false };
};

// The framing for an answer to a request with the given method (RFC 9112, 6.3).
AnswerFraming chooseAnswerFraming(const HttpAnswerHead&, std::string_view requestMethod, bool isVersion10);

// Formats status line and header fields, the fields that concern framing and connection included.
std::string formatAnswerHead(const HttpAnswerHead&, const AnswerFraming&, bool isVersion10, bool keepAlive);

// Formats a piece of a body. An empty piece is nothing, because an empty chunk would end the body.
std::string formatAnswerData(const AnswerFraming&, std::string_view data);

// What follows the last piece of a body.
std::string_view answerEnd(const AnswerFraming&);

}
