#include "StandinLoop.h"

#include "support/InternalError.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <sys/epoll.h>
#include <sys/signalfd.h>

namespace chicoryferry::standins {

StandinLoop::StandinLoop()
{
    this->eventLoop.add(this->taskWakeup.descriptor(), EPOLLIN, [this](std::uint32_t) { this->runQueuedTasks(); });
}

void StandinLoop::schedule(TimePoint time, Task task) { this->timers.emplace(time, std::move(task)); }

void StandinLoop::call(const Task& task)
{
    std::promise<void> done;
    {
        const std::lock_guard<std::mutex> lock(this->tasksMutex);
        this->tasks.push([&] {
            try {
                task();
                done.set_value();
            } catch (...) {
                done.set_exception(std::current_exception());
            }
        });
    }
    this->taskWakeup.notify();
    done.get_future().get();
}

void StandinLoop::runOnce(std::chrono::milliseconds timeout)
{
    if (!this->timers.empty()) {
        const auto untilNext = std::chrono::ceil<std::chrono::milliseconds>(
            this->timers.begin()->first - std::chrono::steady_clock::now());
        timeout = std::clamp(untilNext, std::chrono::milliseconds(0), timeout);
    }
    this->eventLoop.runOnce(timeout);
    this->runDueTimers();
}

void StandinLoop::run()
{
    while (!this->stopRequested) {
        this->runOnce(std::chrono::milliseconds(1000));
    }
}

void StandinLoop::watchStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    internalAssert(descriptor >= 0, "watch signals", "signalfd failed");
    this->eventLoop.add(descriptor, EPOLLIN, [this](std::uint32_t) { this->stopRequested = true; });
}

void StandinLoop::runQueuedTasks()
{
    this->taskWakeup.clear();
    std::queue<Task> waiting;
    {
        const std::lock_guard<std::mutex> lock(this->tasksMutex);
        waiting.swap(this->tasks);
    }
    for (; !waiting.empty(); waiting.pop()) {
        waiting.front()();
    }
}

void StandinLoop::runDueTimers()
{
    const TimePoint now = std::chrono::steady_clock::now();
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const Task task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        task();
    }
}

}
