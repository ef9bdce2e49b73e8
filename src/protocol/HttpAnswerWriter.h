#pragma once

#include "protocol/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryferry {

// How the body of an answer is framed on the connection to the caller.
struct AnswerFraming {
    bool hasBody { true };
    bool chunked { false };
    // Bytes of the body that are still to be written; unset if the length is not known in advance.
    std::optional<std::uint64_t> remaining;
    // The body ends when the connection is closed, because HTTP/1.0 does not support chunked encoding.
    bool untilClose { false };
};

// Chooses the framing for an answer to a request with the given method (RFC 9112, section 6.3).
AnswerFraming chooseAnswerFraming(const HttpAnswerHead&, std::string_view requestMethod, bool isVersion10);

// Formats the status line and the header fields, including those for the framing and the connection.
std::string formatAnswerHead(const HttpAnswerHead&, const AnswerFraming&, bool isVersion10, bool keepAlive);

// Formats a part of a body. Returns an empty string for empty data, because an empty chunk would end the body.
std::string formatAnswerData(const AnswerFraming&, std::string_view data);

// Returns what has to be written after the last part of a body.
std::string_view formatAnswerEnd(const AnswerFraming&);

}
