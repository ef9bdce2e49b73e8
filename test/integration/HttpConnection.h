#pragma once

#include "HttpAnswer.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <map>
#include <string>

namespace chicoryferry::integration {

// A caller's HTTP/1.1 connection. Calls block; one thread at a time.
class HttpConnection {
public:
    using Headers = std::map<std::string, std::string>;

    // Throws std::runtime_error when the connection is refused.
    explicit HttpConnection(const Endpoint&);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    // Sends a request and reads its answer. A body is sent with its length. After an answer that is not complete, or
    // that closes the connection, usable() is false.
    HttpAnswer request(const std::string& method, const std::string& target, const Headers&, const std::string& body,
        std::chrono::milliseconds timeout);

    // Sends bytes as they are. Returns false when the connection is gone.
    bool send(const std::string& bytes);

    // Reads one answer. method: of the request that it answers.
    HttpAnswer readAnswer(const std::string& method, std::chrono::milliseconds timeout);

    bool usable() const { return this->open; }

    // Closes so that the other side sees a reset.
    void reset();

private:
    int descriptor;
    bool open { true };
    std::string unread;
};

// One request on a connection of its own. Throws std::runtime_error when no complete answer arrives.
HttpAnswer requestOnce(
    const Endpoint&, const std::string& method, const std::string& target, const std::string& body = "");

}
