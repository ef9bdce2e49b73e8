#pragma once

#include "HttpAnswer.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <map>
#include <string>

namespace chicoryferry::integration {

// A caller's HTTP/1.1 connection. Calls block; not thread-safe.
class HttpConnection {
public:
    using Headers = std::map<std::string, std::string>;

    // Throws std::runtime_error if the connection cannot be opened.
    explicit HttpConnection(const Endpoint&);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    // Sends a request and reads its answer. A body is sent with Content-Length. After an incomplete answer, or one that
    // closes the connection, usable() is false.
    HttpAnswer request(const std::string& method, const std::string& target, const Headers&, const std::string& body,
        std::chrono::milliseconds timeout);

    // Sends raw bytes. Returns false if the connection is closed.
    bool send(const std::string& bytes);

    // Reads one answer. method: the method of the request (an answer to HEAD has no body).
    HttpAnswer readAnswer(const std::string& method, std::chrono::milliseconds timeout);

    bool usable() const { return this->open; }

    // Makes the destructor close the connection with a TCP reset.
    void reset();

private:
    int descriptor;
    bool open { true };
    std::string unread;
};

// Sends one request over a new connection. Throws std::runtime_error if no complete answer arrives.
HttpAnswer requestOnce(
    const Endpoint&, const std::string& method, const std::string& target, const std::string& body = "");

}
