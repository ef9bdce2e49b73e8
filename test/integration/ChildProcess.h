#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chicoryferry::integration {

// A process that a test starts. It is killed when this object is deleted, and by the kernel when the test dies.
class ChildProcess {
public:
    // name: for messages and for the log file under the directory of the environment variable CHICORYFERRY_TEST_LOGS.
    // Throws std::runtime_error when the process cannot be started.
    ChildProcess(std::string name, const std::vector<std::string>& command);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits for a line on standard output or standard error whose "event" has this value. Throws std::runtime_error
    // with the last lines when the process ends or the time is over.
    nlohmann::json waitForEvent(const std::string& event, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    // Lines whose "event" has this value.
    std::vector<nlohmann::json> events(const std::string& event);

    void send(int signal) const;

    // Waits for the end of the process. Returns false when it still runs at the timeout.
    bool waitForExit(std::chrono::milliseconds timeout);

    // The exit status, or 128 plus the signal; valid after waitForExit() returned true.
    int exitStatus() const { return this->status; }

    bool running();

    pid_t identifier() const { return this->process; }
    const std::string& name() const { return this->processName; }

private:
    void start(const std::vector<std::string>& command);
    void readLines(int descriptor);
    std::string lastLines();

    std::string processName;
    pid_t process { -1 };
    bool ended { false };
    int status { 0 };
    std::thread reader;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> lines;
    bool outputEnded { false };
};

}
