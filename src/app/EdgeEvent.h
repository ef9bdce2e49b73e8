#pragma once

#include "protocol/HttpHead.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace chicoryferry {

// Events about a request, from the request broker to the HTTP edge.

// The broker accepts this many further bytes of the request body.
struct BodyCredit {
    std::uint64_t request { 0 };
    std::size_t bytes { 0 };
};

struct AnswerStart {
    std::uint64_t request { 0 };
    HttpAnswerHead head;
};

struct AnswerData {
    std::uint64_t request { 0 };
    std::string data;
};

// The answer has ended. If it is incomplete, the edge resets the caller's connection.
struct AnswerFinish {
    std::uint64_t request { 0 };
    bool complete { false };
};

using EdgeEvent = std::variant<BodyCredit, AnswerStart, AnswerData, AnswerFinish>;

}
