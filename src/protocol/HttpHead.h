#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// Header fields in the order received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// How the end of a body is determined (RFC 9112, section 6.3).
enum class BodyFraming {
    None,
    ContentLength,
    Chunked,
    UntilClose, // answers only
};

// The head of a request. `headers` contains neither hop-by-hop nor framing fields (Connection, Transfer-Encoding,
// Content-Length, Keep-Alive, Proxy-Connection, TE, Trailer, Upgrade, Expect).
struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 }; // bytes, with BodyFraming::ContentLength
};

// The head of an answer. As in HttpRequestHead, `headers` contains neither hop-by-hop nor framing fields.
struct HttpAnswerHead {
    unsigned status { 0 };
    HttpHeaders headers;
    BodyFraming framing { BodyFraming::None };
    std::uint64_t contentLength { 0 }; // bytes, with BodyFraming::ContentLength
};

}
