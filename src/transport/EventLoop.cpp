#include "transport/EventLoop.h"

#include "support/InternalError.h"

#include <unistd.h>

namespace chicoryferry {

EventLoop::EventLoop()
    : epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
{
    internalAssert(this->epollDescriptor >= 0, "create event loop", "epoll_create1 failed");
}

EventLoop::~EventLoop() { close(this->epollDescriptor); }

void EventLoop::add(int descriptor, std::uint32_t events, Handler handler)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    internalAssert(epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) == 0, "watch descriptor",
        "epoll_ctl failed to add");
    this->handlers[descriptor] = std::make_shared<Handler>(std::move(handler));
}

void EventLoop::modify(int descriptor, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    internalAssert(epoll_ctl(this->epollDescriptor, EPOLL_CTL_MOD, descriptor, &event) == 0, "watch descriptor",
        "epoll_ctl failed to modify");
}

void EventLoop::remove(int descriptor)
{
    epoll_ctl(this->epollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
    this->handlers.erase(descriptor);
}

void EventLoop::runOnce(std::chrono::milliseconds timeout)
{
    this->wait(timeout);
    this->dispatch();
}

void EventLoop::wait(std::chrono::milliseconds timeout)
{
    this->pendingCount = epoll_wait(this->epollDescriptor, this->pending.data(), static_cast<int>(this->pending.size()),
        static_cast<int>(timeout.count()));
}

void EventLoop::dispatch()
{
    for (int index = 0; index < this->pendingCount; ++index) {
        const epoll_event& event = this->pending[static_cast<std::size_t>(index)];
        const auto found = this->handlers.find(event.data.fd);
        if (found == this->handlers.end()) {
            continue;
        }
        // The copy keeps the handler alive while it removes itself.
        const std::shared_ptr<Handler> handler = found->second;
        (*handler)(event.events);
    }
    this->pendingCount = 0;
}

}
