#pragma once

#include "protocol/Endpoint.h"
#include "state/DirectoryChange.h"
#include "state/HostDirectory.h"
#include "state/RefusedEntries.h"
#include "transport/HttpExchange.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

class EventLog;
class EventLoop;
class Metrics;
struct DirectorySnapshot;

namespace platform {
struct StoreAnswer;
}

// Reads the platform's store into the directory, first with a listing and then with watches. Makes one call at a time,
// each over a new connection, so that a connection without answers costs only one timeout.
class StoreReader {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // onChange is called after hosts or routes have changed, onFetchFailed after a fetch from a peer has failed. The
    // references must outlive this object.
    StoreReader(const Endpoint& store, EventLoop&, HostDirectory&, EventLog&, Metrics&, std::uint64_t seed,
        std::function<void()> onChange, std::function<void(const Endpoint&)> onFetchFailed);
    ~StoreReader();

    // Starts calls that are due and aborts calls that exceed their deadline.
    void tick(TimePoint now);
    TimePoint nextTick() const;

    enum class Role {
        None, // does not call the store; a call in progress is not aborted
        Starting, // lists the store unless a peer's state comes first
        Reader,
        FirstReader, // a reader whose watches wait for a shorter time
    };

    void setRole(Role);

    // What the state of a peer is used for.
    enum class FetchPurpose {
        Newer, // it replaces the state known here if it is newer
        Replacement, // the same also if the version is the same
        Completion, // entries that are unknown here are added if the version is the same
    };

    // Fetches the complete directory from a peer. A newer configuration is taken in any case. Calls onFetchFailed on
    // failure.
    void fetchFrom(const Endpoint& peer, FetchPurpose, TimePoint now);

    // Lists the store at once, because a peer has other entries at the same version.
    void listAgain(TimePoint now);
    bool isFetching() const { return this->fetch != nullptr; }

    // Whether the last store call succeeded; false until the first success.
    bool available() const { return this->answeredAt && !this->unavailable; }

    // Time of the store's last answer; unset until the first one.
    std::optional<TimePoint> lastAnswer() const { return this->answeredAt; }

    // Sets the store address for subsequent calls.
    void setStore(const Endpoint& address) { this->store = address; }

private:
    void startCall(TimePoint now);
    void onResult(const HttpExchange::Result&);
    void onFetched(const HttpExchange::Result&);
    // Puts a peer's directory in place of the one known here.
    void replaceState(const DirectorySnapshot&, TimePoint now);
    // Adds what only the peer's directory of the same version has.
    void completeState(const DirectorySnapshot&, TimePoint now);
    void applyRetainedZones(const DirectorySnapshot&, TimePoint now);
    bool isReader() const { return this->role == Role::Reader || this->role == Role::FirstReader; }
    // Handles the era that an answer states, if it states one. Returns whether the answer can be used.
    bool acceptEra(std::optional<std::uint64_t> stated, TimePoint now);
    // Begins a listing. Another one that follows without a successful watch in between is delayed.
    void startListing(TimePoint now);
    void beginCorrection(std::uint64_t statedRevision, TimePoint now);
    void endListing(std::uint64_t revision, TimePoint now);
    void applyListing(const platform::StoreAnswer&, TimePoint now);
    void applyEvents(const platform::StoreAnswer&, TimePoint now);
    // Returns whether an entry of a host or a zone is older than the one known.
    bool apply(const std::vector<DirectoryChange>&, std::uint64_t revision, TimePoint now);
    void logEffect(const DirectoryChange&, HostDirectory::Effect, std::uint64_t revision);
    void logRefusedEntry(const DirectoryChange&, std::uint64_t revision);
    void logHostWritten(const HostEntry&, std::uint64_t revision);
    void logEra();
    void logEvacuations(std::uint64_t revision);
    void logHostRemoved(std::string_view host, std::uint64_t revision);
    void handleFetchFailure(const std::string& step, const std::string& reason);
    void handleFailure(const std::string& step, const std::string& reason, TimePoint now);
    void handleSuccess(TimePoint now);
    // Doubles a delay within the bounds of a back-off and returns a random time between half and all of it. The jitter
    // spreads the calls of many processes.
    std::chrono::milliseconds drawBackoff(std::chrono::milliseconds& delay);

    Endpoint store;
    EventLoop& loop;
    HostDirectory& directory;
    EventLog& log;
    Metrics& metrics;
    std::function<void()> onChange;
    std::function<void(const Endpoint&)> onFetchFailed;
    std::minstd_rand random;
    RefusedEntries refusedEntries;

    std::unique_ptr<HttpExchange> exchange;
    std::unique_ptr<HttpExchange> finishedExchange; // destroyed at the next tick, because its handler may be running
    std::unique_ptr<HttpExchange> fetch;
    Endpoint fetchPeer;
    TimePoint fetchDeadline;
    FetchPurpose fetchPurpose { FetchPurpose::Newer };
    Role role { Role::Reader };
    bool verified { false }; // the directory has a listing of the store and the changes since, all read by this process
    std::optional<TimePoint> answeredAt;
    TimePoint exchangeDeadline; // of the store call in progress
    TimePoint callStart; // of the last store call
    std::uint64_t callRevision { 0 }; // revision that was known at that time
    TimePoint nextCall;
    bool listing { true };
    std::string listAfter;
    std::uint64_t listRevision { 0 };
    std::uint64_t listEra { 0 }; // of the first page of the listing in progress
    std::uint64_t answerEra { 0 }; // of the answer that is being handled
    bool unavailable { false };
    std::chrono::milliseconds backoff { 0 };
    std::chrono::milliseconds listingBackoff { 0 };
    std::chrono::milliseconds listingDelay { 0 }; // of the next listing, unless a watch succeeds first
    std::optional<TimePoint> nextRoutineListing; // unset until the first watch
};

}
