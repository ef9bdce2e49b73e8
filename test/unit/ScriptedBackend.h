#pragma once

#include "protocol/Endpoint.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicoryferry {

// A backend server on loopback whose behaviour is a function supplied by the test. Single-threaded, on the test's event
// loop.
class ScriptedBackend {
public:
    class Connection {
    public:
        std::string received; // everything the client sent
        bool clientClosed { false };

        // Queues bytes; they are sent as the client reads.
        void send(const std::string& bytes);
        // Closes after the queued bytes were sent.
        void close() { this->closing = true; }
        // Closes at once with a TCP reset.
        void reset() { this->resetting = true; }
        // True once the whole head of the request has arrived.
        bool hasHead() const { return this->received.find("\r\n\r\n") != std::string::npos; }
        // Queued bytes that are not yet written to the socket.
        std::size_t unsent() const { return this->outgoing.size(); }

    private:
        friend class ScriptedBackend;
        std::string outgoing;
        bool closing { false };
        bool resetting { false };
    };

    using Script = std::function<void(Connection&)>; // called after each arrival and when a client closes

    ScriptedBackend(EventLoop&, Script);
    ~ScriptedBackend();
    ScriptedBackend(const ScriptedBackend&) = delete;
    ScriptedBackend& operator=(const ScriptedBackend&) = delete;

    Endpoint endpoint() const { return this->address; }
    std::size_t accepted() const { return this->acceptedCount; }

    // Runs the script of every open connection again, for tests that delay an answer.
    void runScripts();

private:
    void accept();
    void advance(int descriptor);
    void flush(int descriptor);
    void remove(int descriptor, bool withReset);

    EventLoop& eventLoop;
    Script script;
    Endpoint address;
    int listener;
    std::size_t acceptedCount { 0 };
    std::map<int, std::unique_ptr<Connection>> connections;
};

// Runs the loop until done() is true or the limit has passed, calling everyRound after each iteration. Returns done().
bool runUntil(EventLoop&, const std::function<bool()>& done, const std::function<void()>& everyRound = {},
    std::chrono::milliseconds limit = std::chrono::seconds(20));

// An address on loopback where nothing listens.
Endpoint unusedEndpoint();

}
