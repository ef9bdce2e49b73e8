#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// Header fields in the order received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// How the end of a body is told.
enum class BodyFraming {
    None,
    ContentLength,
    Chunked,
    UntilClose, // answers only
};

// The head of a request. Hop-by-hop fields (Connection, Transfer-Encoding, Content-Length, Keep-Alive, TE, Trailer,
// Upgrade, Expect) are taken out of headers.
struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 }; // bytes, with BodyFraming::ContentLength
};

// The head of an answer, with hop-by-hop fields taken out of headers.
struct HttpAnswerHead {
    unsigned status { 0 };
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 }; // bytes, with BodyFraming::ContentLength
};

}
