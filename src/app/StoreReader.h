#pragma once

#include "protocol/Endpoint.h"
#include "state/DirectoryChange.h"
#include "state/HostDirectory.h"
#include "transport/HttpExchange.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

class EventLog;
class EventLoop;
class Metrics;

namespace platform {
struct StoreAnswer;
}

// Reads the platform's store into the directory: first a listing, then watches. One call at a time, each over a
// connection of its own, so that a silent connection costs one time-out.
class StoreReader {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // onChange is called after hosts or routes have changed. The references must outlive this object.
    StoreReader(const Endpoint& store, EventLoop&, HostDirectory&, EventLog&, Metrics&, std::uint64_t seed,
        std::function<void()> onChange, std::function<void(const Endpoint&)> onFetchFailed);
    ~StoreReader();

    // Starts calls that are due and ends those that take too long.
    void tick(TimePoint now);
    TimePoint nextTick() const;

    // Whether this process calls the store; if not, a call that is under way ends first.
    void setReading(bool enabled) { this->reading = enabled; }

    // Takes the whole state from a peer that knows more; a failure is told to the handler.
    void fetchFrom(const Endpoint& peer, TimePoint now);
    bool isFetching() const { return this->fetch != nullptr; }

    std::uint64_t revision() const { return this->watchedRevision; }

    // Whether the last call was answered; false until the first answer.
    bool available() const { return this->answered && !this->unavailable; }

    // From now on calls go to this address.
    void setStore(const Endpoint& address) { this->store = address; }

private:
    void startCall(TimePoint now);
    void onResult(const HttpExchange::Result&);
    void onFetched(const HttpExchange::Result&);
    void takeListing(const platform::StoreAnswer&, TimePoint now);
    void takeEvents(const platform::StoreAnswer&, TimePoint now);
    void apply(const std::vector<DirectoryChange>&, std::uint64_t revision, TimePoint now);
    void logEffect(const DirectoryChange&, HostDirectory::Effect, std::uint64_t revision);
    void logHost(std::string_view host, std::string_view state, std::uint64_t revision);
    void endFetch(const std::string& step, const std::string& reason);
    void fail(const std::string& step, const std::string& reason, TimePoint now);
    void succeeded(TimePoint now);

    Endpoint store;
    EventLoop& loop;
    HostDirectory& directory;
    EventLog& log;
    Metrics& metrics;
    std::function<void()> onChange;
    std::function<void(const Endpoint&)> onFetchFailed;
    std::minstd_rand random;

    std::unique_ptr<HttpExchange> exchange;
    std::unique_ptr<HttpExchange> finished; // destroyed at the next tick, because its handler may be running
    std::unique_ptr<HttpExchange> fetch;
    Endpoint fetchPeer;
    TimePoint fetchDeadline;
    bool reading { true };
    bool answered { false };
    TimePoint deadline; // of the call
    TimePoint nextCall;
    bool listing { true };
    std::string listAfter;
    std::uint64_t listRevision { 0 };
    std::uint64_t watchedRevision { 0 };
    bool unavailable { false };
    std::chrono::milliseconds backoff { 0 };
};

}
