#pragma once

#include "protocol/Endpoint.h"
#include "transport/HttpExchange.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace chicoryferry {

class EventLog;
class EventLoop;
class HostDirectory;
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
        std::function<void()> onChange);
    ~StoreReader();

    // Starts calls that are due and ends those that take too long.
    void tick(TimePoint now);
    TimePoint nextTick() const;

    // From now on calls go to this address.
    void setStore(const Endpoint& address) { this->store = address; }

private:
    void startCall(TimePoint now);
    void onResult(HttpExchange::Result);
    void takeListing(const platform::StoreAnswer&, TimePoint now);
    void takeEvents(const platform::StoreAnswer&, TimePoint now);
    void apply(const platform::StoreAnswer&, TimePoint now);
    void fail(const std::string& step, const std::string& reason, TimePoint now);
    void succeeded(TimePoint now);

    Endpoint store;
    EventLoop& loop;
    HostDirectory& directory;
    EventLog& log;
    Metrics& metrics;
    std::function<void()> onChange;
    std::minstd_rand random;

    std::unique_ptr<HttpExchange> exchange;
    std::unique_ptr<HttpExchange> finished; // destroyed at the next tick, because its handler may be running
    TimePoint deadline; // of the call
    TimePoint nextCall;
    TimePoint callStart;
    bool listing { true };
    std::string listAfter;
    std::uint64_t listRevision { 0 };
    std::uint64_t watchedRevision { 0 };
    bool unavailable { false };
    std::chrono::milliseconds backoff { 0 };
};

}
