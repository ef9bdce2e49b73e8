#include "transport/BackendClient.h"

#include "transport/BackendConnection.h"
#include "transport/EventLoop.h"

#include <algorithm>
#include <sys/epoll.h>

namespace chicoryferry {

namespace {

constexpr std::size_t readBufferBytes = 64UL * 1024;

}

BackendClient::BackendClient(
    EventLoop& loop, const Endpoint& server, std::chrono::milliseconds silence, EventHandler eventHandler)
    : eventLoop(loop)
    , backendServer(server)
    , backendSilence(silence)
    , onEvent(std::move(eventHandler))
    , buffer(readBufferBytes)
{
    this->eventLoop.add(this->wakeup.descriptor(), EPOLLIN, [this](std::uint32_t) {
        this->wakeup.clear();
        this->reportFailedConnects();
    });
}

BackendClient::~BackendClient()
{
    this->eventLoop.remove(this->wakeup.descriptor());
    while (!this->connections.empty()) {
        this->cancel(this->connections.begin()->first);
    }
}

std::uint64_t BackendClient::start(
    TimePoint now, const HttpRequestHead& head, std::chrono::milliseconds deadline, std::size_t answerCredit)
{
    this->latestCallerTime = std::max(this->latestCallerTime, now);
    const std::uint64_t run = this->nextRun++;
    auto connection = std::make_unique<BackendConnection>(now, run, this->backendServer, head, deadline, answerCredit);
    if (connection->descriptor() < 0) {
        this->failedConnects.push_back(run);
        this->wakeup.notify();
    }
    this->connections.emplace(run, std::move(connection));
    this->updateInterest(run);
    return run;
}

void BackendClient::reportFailedConnects()
{
    std::vector<std::uint64_t> runs;
    runs.swap(this->failedConnects);
    for (const std::uint64_t run : runs) {
        this->advance(run);
    }
}

void BackendClient::sendBody(TimePoint now, std::uint64_t run, std::string data, bool last)
{
    const auto found = this->connections.find(run);
    if (found != this->connections.end()) {
        found->second->addBody(now, std::move(data), last);
        this->updateInterest(run);
    }
}

void BackendClient::addAnswerCredit(TimePoint now, std::uint64_t run, std::size_t bytes)
{
    const auto found = this->connections.find(run);
    if (found != this->connections.end()) {
        found->second->addAnswerCredit(now, bytes);
        this->updateInterest(run);
    }
}

void BackendClient::cancel(std::uint64_t run)
{
    const auto found = this->connections.find(run);
    if (found == this->connections.end()) {
        return;
    }
    if (this->interests.erase(run) > 0) {
        this->eventLoop.remove(found->second->descriptor());
    }
    this->connections.erase(found);
}

void BackendClient::updateInterest(std::uint64_t run)
{
    const BackendConnection& connection = *this->connections.at(run);
    if (connection.descriptor() < 0) {
        return;
    }
    const std::uint32_t wanted = connection.interest();
    const auto registered = this->interests.find(run);
    if (registered == this->interests.end()) {
        if (wanted != 0) {
            this->interests.emplace(run, wanted);
            this->eventLoop.add(connection.descriptor(), wanted, [this, run](std::uint32_t) { this->advance(run); });
        }
    } else if (wanted == 0) {
        // epoll reports errors even for an empty event mask; they would wake the loop until credit is added.
        this->eventLoop.remove(connection.descriptor());
        this->interests.erase(registered);
    } else if (registered->second != wanted) {
        this->eventLoop.modify(connection.descriptor(), wanted);
        registered->second = wanted;
    }
}

// Socket events carry no time. The result is never earlier than the latest time given by the caller, so that progress
// is not dated before a check in tick().
BackendClient::TimePoint BackendClient::currentTime()
{
    return std::max(this->latestCallerTime, std::chrono::steady_clock::now());
}

void BackendClient::advance(std::uint64_t run)
{
    const auto found = this->connections.find(run);
    if (found == this->connections.end()) {
        return;
    }
    std::vector<BackendEvent> events = found->second->advance(this->currentTime(), this->buffer);
    this->deliver(run, std::move(events));
}

void BackendClient::deliver(std::uint64_t run, std::vector<BackendEvent> events)
{
    if (!this->connections.at(run)->hasEnded()) {
        this->updateInterest(run);
    }
    for (BackendEvent& event : events) {
        // A handler may have cancelled the run.
        if (!this->connections.contains(run)) {
            return;
        }
        if (std::holds_alternative<BackendRunEnd>(event)) {
            this->cancel(run);
        }
        this->onEvent(this->currentTime(), std::move(event));
    }
}

void BackendClient::tick(TimePoint now)
{
    this->latestCallerTime = std::max(this->latestCallerTime, now);
    std::vector<std::uint64_t> runs;
    runs.reserve(this->connections.size());
    for (const auto& [run, connection] : this->connections) {
        runs.push_back(run);
    }
    for (const std::uint64_t run : runs) {
        const auto found = this->connections.find(run);
        if (found != this->connections.end()) {
            this->deliver(run, found->second->expire(now, this->backendSilence));
        }
    }
}

}
