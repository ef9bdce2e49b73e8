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

// A backend server on loopback whose behaviour a test gives as a function. Single-threaded, on the test's event loop.
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
        // True when the head of the request has come.
        bool hasHead() const { return this->received.find("\r\n\r\n") != std::string::npos; }
        // Bytes queued that the client has not taken.
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

    // Runs the script of every open connection again, for answers that a test gives later.
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

// Runs the loop, calling everyRound, until done() or the limit; returns done().
bool runUntil(EventLoop&, const std::function<bool()>& done, const std::function<void()>& everyRound = {},
    std::chrono::milliseconds limit = std::chrono::seconds(20));

// An address on loopback where nothing listens.
Endpoint closedPort();

}
