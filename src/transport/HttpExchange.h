#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicoryferry {

class EventLoop;

// One non-blocking GET request over a new connection. The destructor closes the connection; the owner enforces a
// time-out by destroying the object.
class HttpExchange {
public:
    struct Result {
        int status { 0 }; // 0: no answer
        std::string headers; // lines of the form "name: value", with names in lower case, of at most 4 KB
        std::string body;
        std::string step; // at which the exchange failed, when there is no answer
        std::string reason;
        bool tooLarge { false }; // the body exceeds the limit
    };

    // onResult is called once from the loop, unless this object is destroyed earlier; it may destroy this object.
    HttpExchange(EventLoop&, const Endpoint&, const std::string& target, std::size_t maximumBytes,
        std::function<void(Result)> onResult);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    // What the exchange is waiting for, for the message of a time-out: "connect" or "wait for answer".
    const char* step() const;

private:
    class Parser;

    void onEvents(std::uint32_t events);
    void finishConnect();
    void receive();
    void end(Result);

    EventLoop& loop;
    int socketDescriptor { -1 };
    bool connected { false };
    std::string request;
    std::unique_ptr<Parser> parser;
    std::function<void(Result)> onResult;
};

}
