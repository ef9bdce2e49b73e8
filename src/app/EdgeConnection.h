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

// Bytes that wait for room in the send buffer.
struct EdgeOutput {
    std::string text;
    std::size_t written { 0 };
    std::size_t bodyBytes { 0 }; // of the answer's body among them
};

// The HTTP side of one caller's connection.
struct EdgeConnection {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t identifier { 0 };
    std::string service;
    Endpoint caller;
    HttpRequestParser parser;
    TimePoint lastInput; // of bytes that were taken
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

    // The connection is over; the record is removed at the end of the current call.
    bool ended { false };
};

}
