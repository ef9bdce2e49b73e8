#include "app/EdgeEventQueue.h"

#include "transport/EventLoop.h"

#include <sys/epoll.h>

namespace chicoryferry {

EdgeEventQueue::EdgeEventQueue(EventLoop& loop, EventHandler eventHandler)
    : eventLoop(loop)
    , handler(std::move(eventHandler))
{
    this->eventLoop.add(this->wakeup.descriptor(), EPOLLIN, [this](std::uint32_t) {
        this->wakeup.clear();
        this->flush();
    });
}

EdgeEventQueue::~EdgeEventQueue() { this->eventLoop.remove(this->wakeup.descriptor()); }

void EdgeEventQueue::discard(std::uint64_t request)
{
    std::erase_if(this->events, [request](const EdgeEvent& event) {
        return std::visit([](const auto& any) { return any.request; }, event) == request;
    });
}

void EdgeEventQueue::flush()
{
    if (this->flushing) {
        return;
    }
    this->flushing = true;
    while (!this->events.empty()) {
        EdgeEvent event = std::move(this->events.front());
        this->events.pop_front();
        this->handler(std::move(event));
    }
    this->flushing = false;
}

void EdgeEventQueue::scheduleFlush()
{
    if (!this->events.empty() && !this->flushing) {
        this->wakeup.notify();
    }
}

}
