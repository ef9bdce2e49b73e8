#pragma once

#include "protocol/HttpFault.h"
#include "protocol/HttpHead.h"
#include "protocol/HttpRequestHeadReader.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryferry {

// Parses the requests of one connection, one at a time. The body is taken out piece by piece, so that memory stays
// bounded.
class HttpRequestParser {
public:
    // The most bytes of a request line with header fields.
    static constexpr std::size_t maximumHeadBytes = 32768;

    // feed() stops when this many bytes of the body wait to be taken.
    static constexpr std::size_t maximumPendingBytes = 16384;

    enum class State {
        Head, // the head is not complete
        Body, // head() is valid
        Complete, // head() is valid, and no byte of the body is missing
        Failed, // fault() is valid; the connection cannot be read on
    };

    HttpRequestParser();
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser&) = delete;
    HttpRequestParser& operator=(const HttpRequestParser&) = delete;

    // Takes bytes and returns how many; fewer when the head has just become complete, when enough of the body is
    // pending, and at the end of the request.
    std::size_t feed(std::string_view data);

    State state() const { return this->current; }

    // True when no byte of a request has arrived.
    bool isIdle() const { return this->current == State::Head && this->headText.empty(); }

    const ReadHttpRequestHead& head() const { return this->requestHead; }
    const HttpFault& fault() const { return this->requestFault; }

    std::size_t pendingBody() const { return this->pending.size(); }

    // Takes up to the given number of bytes of the body.
    std::string takeBody(std::size_t maximum);

    // Forgets the complete request, so that feed() takes the next one.
    void startNext();

private:
    class Parser;

    std::size_t feedHead(std::string_view data);
    std::size_t feedBody(std::string_view data);
    void finishHead();
    void fail(HttpFault);

    State current { State::Head };
    std::string headText;
    ReadHttpRequestHead requestHead;
    HttpFault requestFault;
    std::string pending;
    std::unique_ptr<Parser> parser;
};

}
