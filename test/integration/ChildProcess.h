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

// A process that a test starts. The destructor kills it; the kernel kills it if the test process dies.
class ChildProcess {
public:
    // name: used in error messages and as the name of the log file in the directory given by the environment variable
    // CHICORYFERRY_TEST_LOGS. Throws std::runtime_error if the process cannot be started.
    ChildProcess(std::string name, const std::vector<std::string>& command);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits for a JSON line on standard output or standard error whose "event" has this value. Throws
    // std::runtime_error with the last lines if the process ends its output first or at the timeout.
    nlohmann::json waitForEvent(const std::string& event, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    // All JSON lines so far whose "event" has this value.
    std::vector<nlohmann::json> events(const std::string& event);

    void send(int signal) const;

    // Waits for the process to exit. Returns false if it is still running at the timeout.
    bool waitForExit(std::chrono::milliseconds timeout);

    // The exit status, or 128 plus the number of the signal that ended it; valid after waitForExit() returned true.
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
