#include "app/StoreReader.h"

#include "app/DirectorySnapshot.h"
#include "platform/StoreDocuments.h"
#include "support/Error.h"
#include "support/EventLog.h"
#include "support/Metrics.h"
#include "support/Overloaded.h"

#include <algorithm>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

constexpr int statusOk = 200;
constexpr int statusGone = 410;

// The store answers in 4 ms, and 60 times as slowly at times.
constexpr milliseconds callTimeout { 1000 };

// A connection that went silent is found after this time and callTimeout; machines count as in touch again 4 s after
// such a fault, and must then have the changes of before.
constexpr milliseconds watchWait { 2500 };

// Changes that follow each other are taken with one call; they must be in force within 3 s.
constexpr milliseconds changesPause { 150 };

constexpr milliseconds firstBackoff { 100 };
constexpr milliseconds longestBackoff { 1000 };

// A page holds at most 1 MB of values as base64 text.
constexpr std::size_t maximumAnswerBytes = 4'000'000;

}

StoreReader::StoreReader(const Endpoint& storeAddress, EventLoop& eventLoop, HostDirectory& hostDirectory,
    EventLog& eventLog, Metrics& processMetrics, std::uint64_t seed, std::function<void()> changeHandler,
    std::function<void(const Endpoint&)> fetchFailureHandler)
    : store(storeAddress)
    , loop(eventLoop)
    , directory(hostDirectory)
    , log(eventLog)
    , metrics(processMetrics)
    , onChange(std::move(changeHandler))
    , onFetchFailed(std::move(fetchFailureHandler))
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

StoreReader::~StoreReader() = default;

StoreReader::TimePoint StoreReader::nextTick() const
{
    TimePoint next = TimePoint::max();
    if (this->exchange) {
        next = this->deadline;
    } else if (this->reading) {
        next = this->nextCall;
    }
    return this->fetch ? std::min(next, this->fetchDeadline) : next;
}

void StoreReader::tick(TimePoint now)
{
    this->finished.reset();
    if (this->exchange && now >= this->deadline) {
        const std::string step = this->exchange->step();
        this->exchange.reset();
        this->fail(step, "no answer in time", now);
    }
    if (this->fetch && now >= this->fetchDeadline) {
        const std::string step = this->fetch->step();
        this->fetch.reset();
        this->endFetch(step, "no answer in time");
    }
    if (!this->exchange && this->reading && now >= this->nextCall) {
        this->startCall(now);
    }
}

void StoreReader::fetchFrom(const Endpoint& peer, TimePoint now)
{
    this->fetchPeer = peer;
    this->fetchDeadline = now + callTimeout;
    this->metrics.events("peer_fetch").Increment();
    this->fetch = std::make_unique<HttpExchange>(this->loop, peer, "/v1/directory", maximumAnswerBytes,
        [this](const HttpExchange::Result& result) { this->onFetched(result); });
}

void StoreReader::endFetch(const std::string& step, const std::string& reason)
{
    this->metrics.retries("fetch from peer", "peer_unavailable").Increment();
    this->log.log(EventLog::Importance::Notable, "peer_fetch_failed",
        { { "peer", formatEndpoint(this->fetchPeer) }, { "step", step }, { "reason", reason } });
    this->onFetchFailed(this->fetchPeer);
}

void StoreReader::onFetched(const HttpExchange::Result& result)
{
    const auto now = std::chrono::steady_clock::now();
    this->finished = std::move(this->fetch);
    if (result.status != statusOk) {
        this->endFetch(result.step, result.status == 0 ? result.reason : "status " + std::to_string(result.status));
        return;
    }
    const auto snapshot = decodeSnapshot(result.body);
    if (!snapshot) {
        this->endFetch("read answer", "not a snapshot");
        return;
    }
    if (snapshot->revision <= this->watchedRevision) {
        return; // own calls were faster
    }
    this->directory.beginListing();
    this->apply(snapshot->changes, snapshot->revision, now);
    this->watchedRevision = snapshot->revision;
    if (this->listing) {
        // The peer knows what a listing under way could tell.
        this->listing = false;
        this->listAfter.clear();
        this->exchange.reset();
        this->nextCall = now;
    }
    if (this->directory.endListing(now)) {
        this->onChange();
    }
    this->log.log(EventLog::Importance::Notable, "peer_state_taken",
        { { "peer", formatEndpoint(this->fetchPeer) }, { "revision", static_cast<std::int64_t>(snapshot->revision) },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
}

void StoreReader::startCall(TimePoint now)
{
    const std::string target = this->listing ? platform::listTarget(this->listAfter)
                                             : platform::watchTarget(this->watchedRevision, watchWait);
    this->deadline = now + callTimeout + (this->listing ? milliseconds(0) : watchWait);
    this->metrics.events("store_call").Increment();
    this->exchange = std::make_unique<HttpExchange>(this->loop, this->store, target, maximumAnswerBytes,
        [this](const HttpExchange::Result& result) { this->onResult(result); });
}

void StoreReader::fail(const std::string& step, const std::string& reason, TimePoint now)
{
    this->metrics.retries("read store", "store_unavailable").Increment();
    if (!this->unavailable) {
        this->unavailable = true;
        this->log.log(EventLog::Importance::Notable, "store_lost",
            { { "step", step }, { "reason", reason }, { "revision", static_cast<std::int64_t>(this->watchedRevision) },
                { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
    }
    this->backoff = std::clamp(this->backoff * 2, firstBackoff, longestBackoff);
    // Spreads the calls of many processes after the store has returned.
    const auto jitter = std::uniform_int_distribution<std::int64_t>(0, this->backoff.count() / 2)(this->random);
    this->nextCall = now + this->backoff / 2 + milliseconds(jitter);
}

void StoreReader::succeeded(TimePoint now)
{
    this->backoff = milliseconds(0);
    this->nextCall = now;
    this->answered = true;
    if (this->unavailable) {
        this->unavailable = false;
        this->log.log(EventLog::Importance::Notable, "store_regained",
            { { "revision", static_cast<std::int64_t>(this->watchedRevision) } });
    }
}

void StoreReader::onResult(const HttpExchange::Result& result)
{
    const auto now = std::chrono::steady_clock::now();
    this->finished = std::move(this->exchange);
    if (result.status == 0) {
        this->fail(result.step, result.reason, now);
        return;
    }
    if (result.status == statusGone && !this->listing) {
        this->log.log(EventLog::Importance::Notable, "store_history_gone",
            { { "revision", static_cast<std::int64_t>(this->watchedRevision) } });
        this->listing = true;
        this->nextCall = now;
        return;
    }
    if (result.status != statusOk) {
        this->fail("read store", "status " + std::to_string(result.status), now);
        return;
    }
    try {
        if (this->listing) {
            this->takeListing(platform::parseListAnswer(result.body), now);
        } else {
            this->takeEvents(platform::parseWatchAnswer(result.body), now);
        }
    } catch (const Error& error) {
        this->fail(error.step(), error.what(), now);
    }
}

void StoreReader::logHost(std::string_view host, std::string_view state, std::uint64_t revision)
{
    this->log.log(EventLog::Importance::Notable, "host_changed",
        { { "host", host }, { "state", state }, { "revision", static_cast<std::int64_t>(revision) } });
}

void StoreReader::logEffect(const DirectoryChange& change, HostDirectory::Effect effect, std::uint64_t revision)
{
    const auto configuration = static_cast<std::int64_t>(this->directory.routes().version);
    switch (effect) {
    case HostDirectory::Effect::None:
        return;
    case HostDirectory::Effect::RefusedMalformed:
        this->metrics.refusals("read store", "malformed_entry").Increment();
        this->log.log(EventLog::Importance::Notable, "change_refused",
            { { "reason", "malformed_entry" }, { "revision", static_cast<std::int64_t>(revision) } });
        return;
    case HostDirectory::Effect::RefusedOlder:
        this->metrics.refusals("read store", "older_version").Increment();
        this->log.log(EventLog::Importance::Notable, "change_refused",
            { { "reason", "older_version" }, { "configuration", configuration } });
        return;
    case HostDirectory::Effect::RoutesChanged:
        this->log.log(EventLog::Importance::Notable, "configuration_in_force",
            { { "configuration", configuration }, { "revision", static_cast<std::int64_t>(revision) },
                { "routes", static_cast<std::int64_t>(this->directory.routes().routes.size()) } });
        return;
    case HostDirectory::Effect::HostsChanged:
        std::visit(Overloaded {
                       [](const RouteTableWritten&) {},
                       [&](const HostWritten& written) {
                           this->logHost(written.entry.id, written.entry.draining ? "draining" : "ready", revision);
                       },
                       [&](const HostRemoved& removed) { this->logHost(removed.id, "gone", revision); },
                   },
            change);
    }
}

void StoreReader::apply(const std::vector<DirectoryChange>& changes, std::uint64_t revision, TimePoint now)
{
    bool changed = false;
    for (const DirectoryChange& change : changes) {
        const auto effect = this->directory.apply(change, now);
        changed = changed || effect == HostDirectory::Effect::HostsChanged
            || effect == HostDirectory::Effect::RoutesChanged;
        this->logEffect(change, effect, revision);
    }
    if (changed) {
        this->onChange();
    }
}

void StoreReader::takeListing(const platform::StoreAnswer& answer, TimePoint now)
{
    if (this->listAfter.empty()) {
        // Pages are not a snapshot: changes behind the first one are watched for.
        this->listRevision = answer.revision;
        this->directory.beginListing();
    }
    this->apply(answer.changes, answer.revision, now);
    this->listAfter = answer.nextAfter;
    this->succeeded(now);
    if (!this->listAfter.empty()) {
        return;
    }
    this->listing = false;
    this->watchedRevision = std::max(this->watchedRevision, this->listRevision);
    if (this->directory.endListing(now)) {
        this->onChange();
    }
}

void StoreReader::takeEvents(const platform::StoreAnswer& answer, TimePoint now)
{
    this->apply(answer.changes, answer.revision, now);
    this->watchedRevision = std::max(this->watchedRevision, answer.revision);
    this->succeeded(now);
    this->nextCall = answer.changes.empty() ? now : now + changesPause;
}

}
