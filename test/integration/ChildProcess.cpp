#include "ChildProcess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chicoryferry::integration {

namespace {

constexpr std::chrono::milliseconds exitPollInterval { 10 };
constexpr std::size_t reportedLines = 12;
constexpr std::size_t maxStoredLines = 200'000;

[[noreturn]] void runCommand(std::vector<char*>& arguments, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

std::ofstream openLog(const std::string& name)
{
    const char* directory = std::getenv("CHICORYFERRY_TEST_LOGS");
    return directory == nullptr ? std::ofstream() : std::ofstream(std::string(directory) + "/" + name + ".log");
}

}

ChildProcess::ChildProcess(std::string nameToUse, const std::vector<std::string>& command)
    : processName(std::move(nameToUse))
{
    this->start(command);
}

ChildProcess::~ChildProcess()
{
    if (this->running()) {
        kill(this->process, SIGKILL);
        this->waitForExit(std::chrono::seconds(10));
    }
    this->reader.join();
}

void ChildProcess::start(const std::vector<std::string>& command)
{
    std::array<int, 2> pipeEnds {};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for " + this->processName);
    }
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    this->process = fork();
    if (this->process == 0) {
        runCommand(arguments, pipeEnds[1]);
    }
    close(pipeEnds[1]);
    if (this->process < 0) {
        close(pipeEnds[0]);
        throw std::runtime_error("cannot start " + this->processName);
    }
    this->reader = std::thread([this, descriptor = pipeEnds[0]] { this->readLines(descriptor); });
}

void ChildProcess::readLines(int descriptor)
{
    std::ofstream log = openLog(this->processName);
    std::string pending;
    std::array<char, 65536> buffer {};
    for (ssize_t count = 1; count > 0 || (count < 0 && errno == EINTR);) {
        count = read(descriptor, buffer.data(), buffer.size());
        pending.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::size_t begin = 0;
        for (std::size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', begin)) {
            const std::string line = pending.substr(begin, end - begin);
            begin = end + 1;
            log << line << std::endl;
            if (this->lines.size() < maxStoredLines) {
                this->lines.push_back(line);
            }
        }
        pending.erase(0, begin);
        this->changed.notify_all();
    }
    close(descriptor);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->outputEnded = true;
    this->changed.notify_all();
}

nlohmann::json ChildProcess::waitForEvent(const std::string& event, std::chrono::milliseconds timeout)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    std::unique_lock<std::mutex> lock(this->mutex);
    for (std::size_t next = 0;;) {
        for (; next < this->lines.size(); ++next) {
            nlohmann::json line = nlohmann::json::parse(this->lines[next], nullptr, false);
            if (line.is_object() && line.value("event", "") == event) {
                return line;
            }
        }
        if (this->outputEnded || std::chrono::steady_clock::now() >= limit) {
            lock.unlock();
            throw std::runtime_error(
                this->processName + " did not log the event '" + event + "'; last lines:\n" + this->lastLines());
        }
        this->changed.wait_until(lock, limit);
    }
}

std::vector<nlohmann::json> ChildProcess::events(const std::string& event)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<nlohmann::json> found;
    for (const std::string& text : this->lines) {
        nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
        if (line.is_object() && line.value("event", "") == event) {
            found.push_back(std::move(line));
        }
    }
    return found;
}

std::string ChildProcess::lastLines()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string text;
    const std::size_t first = this->lines.size() > reportedLines ? this->lines.size() - reportedLines : 0;
    for (std::size_t index = first; index < this->lines.size(); ++index) {
        text += this->lines[index] + "\n";
    }
    return text;
}

void ChildProcess::send(int signal) const { kill(this->process, signal); }

bool ChildProcess::running() { return !this->waitForExit(std::chrono::milliseconds(0)); }

bool ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    while (!this->ended) {
        int result = 0;
        if (waitpid(this->process, &result, WNOHANG) == this->process) {
            this->ended = true;
            this->status = WIFEXITED(result) ? WEXITSTATUS(result) : 128 + WTERMSIG(result);
            break;
        }
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(exitPollInterval);
    }
    return true;
}

}
