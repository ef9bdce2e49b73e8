#pragma once

#include "app/EdgeEvent.h"
#include "transport/Wakeup.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace chicoryferry {

class EventLoop;

// Queues the events for the HTTP edge, so that the edge is not called back from inside its own call into the broker.
class EdgeEventQueue {
public:
    using EventHandler = std::function<void(EdgeEvent)>;

    // The event loop must outlive this object.
    EdgeEventQueue(EventLoop&, EventHandler);
    ~EdgeEventQueue();
    EdgeEventQueue(const EdgeEventQueue&) = delete;
    EdgeEventQueue& operator=(const EdgeEventQueue&) = delete;

    void push(EdgeEvent event) { this->events.push_back(std::move(event)); }

    // Removes the queued events of a request whose caller is gone.
    void discard(std::uint64_t request);

    // Delivers all queued events, including those that the handler adds. Does nothing when called from the handler.
    void flush();

    // Has the event loop call flush(), if events are queued.
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
