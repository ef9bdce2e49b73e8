#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <sys/epoll.h>
#include <unordered_map>

namespace chicoryferry {

// Waits for descriptors with epoll and calls their handlers. Used from one thread only.
class EventLoop {
public:
    // Receives the epoll events (EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP) that are pending.
    using Handler = std::function<void(std::uint32_t events)>;

    // Throws InternalError when the epoll descriptor cannot be created.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    void add(int descriptor, std::uint32_t events, Handler);
    void modify(int descriptor, std::uint32_t events);

    // The handler of a removed descriptor is not called again, not even for events that wait() has already returned.
    void remove(int descriptor);

    // Waits at most the timeout for events and calls the handlers of those that are pending.
    void runOnce(std::chrono::milliseconds timeout);

    // The two steps of runOnce().
    void wait(std::chrono::milliseconds timeout);
    void dispatch();

private:
    static constexpr std::size_t eventsPerWait = 128;

    int epollDescriptor;
    std::array<epoll_event, eventsPerWait> pending {};
    int pendingCount { 0 };
    std::unordered_map<int, std::shared_ptr<Handler>> handlers;
};

}
