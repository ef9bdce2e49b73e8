#pragma once

#include "protocol/Endpoint.h"
#include "protocol/HttpAnswerParser.h"
#include "protocol/HttpHead.h"
#include "transport/BackendEvent.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicoryferry {

// One request on one new connection to a backend server. Non-blocking; driven by BackendClient.
class BackendConnection {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Events = std::vector<BackendEvent>;

    // Starts to connect. deadline: the time that is left for the request, sent as Chicoryferry-Deadline-Ms.
    BackendConnection(TimePoint, std::uint64_t run, const Endpoint& backendServer, const HttpRequestHead&,
        std::chrono::milliseconds deadline, std::size_t answerCredit);

    // Closes the connection, which cancels a request that has not ended.
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    // The socket; -1 when the connection could not be started or has ended.
    int descriptor() const { return this->socketDescriptor; }

    // The epoll events to wait for; 0: none, the descriptor is then taken out of the event loop.
    std::uint32_t interest() const;

    void addBody(TimePoint, std::string data, bool last);
    void addAnswerCredit(TimePoint, std::size_t bytes);

    // Writes and reads as much as possible without blocking and returns the resulting events. buffer: scratch space for
    // reading.
    Events advance(TimePoint, std::span<char> buffer);

    // Ends the run when it made no progress for the time of stallLimit().
    Events expire(TimePoint, std::chrono::milliseconds backendSilence);

    bool hasEnded() const { return this->ended; }

private:
    void write(TimePoint, Events&);
    void read(TimePoint, std::span<char> buffer, Events&);
    void consume(std::string_view bytes, Events&);
    void deliverHead(HttpAnswerHead, Events&);
    void finishFromParser(Events&);
    void fail(const char* reason, Events&);
    void end(RunResult, Events&);
    bool waitsForRequestBody() const;
    // The time without progress after which the run ends; nothing while it waits for the caller to read the answer.
    std::optional<std::chrono::milliseconds> stallLimit(std::chrono::milliseconds backendSilence) const;
    std::string encodeBody(std::string data, bool last) const;

    std::uint64_t run;
    BodyFraming requestFraming;
    HttpAnswerParser parser;
    Events* sink { nullptr }; // receives the parser's output while it runs
    int socketDescriptor { -1 };
    std::string outgoing; // head and body bytes not yet written to the socket
    std::size_t headBytesLeft { 0 }; // of outgoing, bytes of the head
    std::uint64_t bodyBytesLeft { 0 }; // of outgoing, bytes of the caller's body
    bool bodyEnded { false };
    bool anySent { false };
    bool writeFailed { false };
    std::size_t answerCredit;
    unsigned status { 0 };
    bool headSeen { false };
    bool shed { false }; // a 503 that says the request was not run
    bool ended { false };
    TimePoint lastProgress;
};

}
