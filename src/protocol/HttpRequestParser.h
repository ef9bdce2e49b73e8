#pragma once

#include "protocol/HttpFault.h"
#include "protocol/HttpHead.h"
#include "protocol/HttpRequestHeadReader.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryferry {

// Incremental parser for the requests of a connection, one at a time. The body is read in parts, which bounds the
// memory used.
class HttpRequestParser {
public:
    // The maximum size of the request line and the header fields together.
    static constexpr std::size_t maximumHeadBytes = 32768;

    // feed() stops when this many bytes of the body have not been removed by takeBody().
    static constexpr std::size_t maximumPendingBytes = 16384;

    enum class State {
        Head, // the head is not complete
        Body, // head() is valid
        Complete, // head() is valid, and the whole body was received
        Failed, // fault() is valid; no further requests can be read from the connection
    };

    HttpRequestParser();
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser&) = delete;
    HttpRequestParser& operator=(const HttpRequestParser&) = delete;

    // Parses data and returns the number of bytes consumed, which is less than all when the head has just become
    // complete, when maximumPendingBytes of the body are pending, and at the end of the request.
    std::size_t feed(std::string_view data);

    State state() const { return this->current; }

    // True if no byte of the next request has been received.
    bool isIdle() const { return this->current == State::Head && this->headText.empty(); }

    const ParsedRequestHead& head() const { return this->requestHead; }
    const HttpFault& fault() const { return this->requestFault; }

    std::size_t pendingBody() const { return this->pending.size(); }

    // Removes and returns up to `maximum` pending bytes of the body.
    std::string takeBody(std::size_t maximum);

    // Discards the completed request, so that feed() parses the next one.
    void startNext();

private:
    class Parser;

    std::size_t feedHead(std::string_view data);
    std::size_t feedBody(std::string_view data);
    void finishHead();
    void fail(HttpFault);

    State current { State::Head };
    std::string headText;
    ParsedRequestHead requestHead;
    HttpFault requestFault;
    std::string pending;
    std::unique_ptr<Parser> parser;
};

}
