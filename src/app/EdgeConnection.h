#pragma once

#include "protocol/Endpoint.h"
#include "protocol/HttpAnswerWriter.h"
#include "protocol/HttpRequestParser.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace chicoryferry {

// Bytes that wait for space in the TCP send buffer.
struct EdgeOutput {
    std::string text;
    std::size_t written { 0 };
    std::size_t bodyBytes { 0 }; // number of bytes of the answer's body in text, without chunk framing
};

// HTTP state of one caller's connection.
struct EdgeConnection {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t identifier { 0 };
    std::string service;
    Endpoint caller;
    HttpRequestParser parser;
    TimePoint lastInput; // when bytes were last read from the caller, or body credit was last given to it
    TimePoint idleSince;

    // The request in progress; zero when there is none.
    std::uint64_t request { 0 };
    std::size_t bodyCredit { 0 };
    bool bodyFinished { false };
    bool continueSent { false };

    bool answerStarted { false };
    bool answerFinished { false };
    AnswerFraming framing;
    std::list<EdgeOutput> output;
    TimePoint lastOutputProgress;
    bool closeAfterAnswer { false };

    // The connection has ended; this record is removed at the end of the current call.
    bool ended { false };
};

}
