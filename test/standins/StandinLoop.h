#pragma once

#include "transport/EventLoop.h"
#include "transport/Wakeup.h"

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <queue>

namespace chicoryferry::standins {

// An event loop with timers and with a queue of tasks from other threads.
class StandinLoop {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Task = std::function<void()>;

    StandinLoop();
    StandinLoop(const StandinLoop&) = delete;
    StandinLoop& operator=(const StandinLoop&) = delete;

    EventLoop& events() { return this->eventLoop; }

    // Runs the task on the loop's thread at the time given. Loop thread only.
    void schedule(TimePoint, Task);

    // Runs the task on the loop's thread and waits until it has finished. Other threads only.
    void call(const Task&);

    // Runs one iteration; waits at most for the timeout.
    void runOnce(std::chrono::milliseconds timeout);

    // Runs iterations until SIGTERM or SIGINT arrives. Call watchStopSignals() first, before any thread starts.
    void run();

    // Blocks SIGTERM and SIGINT for this thread and the threads that it starts later, and handles them in the loop.
    void watchStopSignals();

    bool stopped() const { return this->stopRequested; }

private:
    void runQueuedTasks();
    void runDueTimers();

    EventLoop eventLoop;
    Wakeup taskWakeup;
    std::multimap<TimePoint, Task> timers;
    std::mutex tasksMutex;
    std::queue<Task> tasks;
    bool stopRequested { false };
};

}
