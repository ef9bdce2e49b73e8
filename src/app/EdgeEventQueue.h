#pragma once

#include "app/EdgeEvent.h"
#include "transport/Wakeup.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace chicoryferry {

class EventLoop;

// Holds the events for the HTTP edge until it may be called, that is, not from inside its own call into the broker.
class EdgeEventQueue {
public:
    using EventHandler = std::function<void(EdgeEvent)>;

    // The event loop must outlive this object.
    EdgeEventQueue(EventLoop&, EventHandler);
    ~EdgeEventQueue();
    EdgeEventQueue(const EdgeEventQueue&) = delete;
    EdgeEventQueue& operator=(const EdgeEventQueue&) = delete;

    void push(EdgeEvent event) { this->events.push_back(std::move(event)); }

    // Drops the events of a request whose caller is gone.
    void discard(std::uint64_t request);

    // Hands out all events, also those that the handler causes. Does nothing inside the handler.
    void flush();

    // Leaves the events to the event loop.
    void scheduleFlush();

    bool isEmpty() const { return this->events.empty(); }

private:
    EventLoop& eventLoop;
    EventHandler handler;
    Wakeup wakeup;
    std::deque<EdgeEvent> events;
    bool flushing { false };
};

}
