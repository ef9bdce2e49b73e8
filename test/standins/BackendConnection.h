#pragma once

#include "AnswerContent.h"
#include "StandinLoop.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <map>
#include <memory>
#include <string>

namespace chicoryferry::standins {

// A request as a backend server received it.
struct BackendRequest {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

// An answer to send. The body is either the text or, without one, content of the identity.
struct BackendAnswer {
    unsigned status { 200 };
    std::map<std::string, std::string> headers;
    std::string text;
    AnswerIdentity identity;
    std::uint64_t contentBytes { 0 };
    bool chunked { false };
    std::uint64_t cutAfter { UINT64_MAX }; // bytes of the body, then the connection is reset
    std::uint64_t stallAfter { UINT64_MAX }; // bytes of the body, then nothing more is sent
    std::uint64_t bytesPerSecond { 0 }; // 0: as fast as possible
};

// One HTTP/1.1 connection of a backend server: requests in order, each answered before the next is read.
class BackendConnection {
public:
    using RequestHandler = std::function<void(BackendConnection&, const BackendRequest&)>;
    using AnswerHandler = std::function<void(BackendConnection&, bool complete)>;
    using CloseHandler = std::function<void(BackendConnection&)>;

    // Takes over the descriptor. onAnswered is called when an answer was written as a whole or was cut; onClosed once,
    // after which the owner deletes this object in a later round of the loop.
    BackendConnection(StandinLoop&, int descriptor, RequestHandler, AnswerHandler onAnswered, CloseHandler);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    void answer(BackendAnswer);

private:
    static int parserUrl(http_parser*, const char*, std::size_t);
    static int parserField(http_parser*, const char*, std::size_t);
    static int parserValue(http_parser*, const char*, std::size_t);
    static int parserBody(http_parser*, const char*, std::size_t);
    static int parserHeadComplete(http_parser*);
    static int parserComplete(http_parser*);

    void ready(std::uint32_t events);
    void read();
    void parse();
    void write();
    void fillOutput();
    void answerWritten();
    void watch();
    void finish();

    StandinLoop& loop;
    int descriptor;
    RequestHandler onRequest;
    AnswerHandler onAnswered;
    CloseHandler onClosed;
    http_parser parser {};
    std::string input;
    BackendRequest request;
    std::string headerName;
    bool lastWasValue { false };
    bool requestPending { false };
    bool keepAlive { true };
    bool answering { false };
    bool closed { false };
    BackendAnswer current;
    std::string output;
    std::size_t outputOffset { 0 };
    std::uint64_t bodyOffset { 0 };
    std::uint64_t bodyTotal { 0 };
    bool bodyEnded { false };
    bool paused { false };
    std::shared_ptr<bool> alive { std::make_shared<bool>(true) };
};

}
