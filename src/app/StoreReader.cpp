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

constexpr int httpOk = 200;
constexpr int httpGone = 410;

// The store usually answers in 4 ms, but at times takes 60 times as long.
constexpr milliseconds callTimeout { 1000 };

// Longest wait of a watch. A connection that has stopped delivering data is detected after watchWait plus callTimeout.
// Machines count as connected again 4 s after such a fault and must by then have the changes made before.
constexpr milliseconds watchWait { 2500 };

// The wait of the first reader. If all readers are partitioned from the store at the same time, other balancers begin
// to read it when the first reader's call has failed, at most this plus callTimeout plus the interval of hellos later,
// and have the changes within 3 s. One reader with shorter waits costs fewer calls than all of them.
constexpr milliseconds firstReaderWatchWait { 1000 };

// Delay of the next watch after a change, so that several changes are read with one call. Changes must be in force
// within 3 s.
constexpr milliseconds batchingDelay { 150 };

// A watch reports changes only. A listing at this interval shows what no watch reports, such as the entries that a
// false revision has hidden once the store's revisions have passed it.
constexpr std::chrono::minutes routineListingInterval { 5 };

constexpr milliseconds initialBackoff { 100 };
constexpr milliseconds maximumBackoff { 1000 };

// Keys in the store have at most 200 bytes; longer names are truncated in log lines.
constexpr std::size_t maximumLoggedEntry = 200;

// Bounds the memory for an answer, as a process has as little as 64 MB. Exceeds a page of a listing, which holds at
// most 1 MB of values, encoded as base64. A watch answer has no limit, because it contains each change since the last
// one.
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
        next = this->exchangeDeadline;
    } else if (this->role != Role::None) {
        next = this->nextCall;
    }
    return this->fetch ? std::min(next, this->fetchDeadline) : next;
}

void StoreReader::tick(TimePoint now)
{
    this->finishedExchange.reset();
    if (this->exchange && now >= this->exchangeDeadline) {
        const std::string step = this->exchange->step();
        this->exchange.reset();
        this->handleFailure(step, "call timed out", now);
    }
    if (this->fetch && now >= this->fetchDeadline) {
        const std::string step = this->fetch->step();
        this->fetch.reset();
        this->handleFetchFailure(step, "call timed out");
    }
    if (!this->exchange && this->role != Role::None && now >= this->nextCall) {
        this->startCall(now);
    }
}

void StoreReader::setRole(Role next)
{
    if (next == Role::None) {
        this->verified = false; // no watch shows the changes from now on
    }
    this->role = next;
}

void StoreReader::listAgain(TimePoint now)
{
    if (this->listing) {
        return;
    }
    this->exchange.reset();
    this->startListing(now);
}

void StoreReader::fetchFrom(const Endpoint& peer, FetchPurpose purpose, TimePoint now)
{
    this->fetchPeer = peer;
    this->fetchPurpose = purpose;
    this->fetchDeadline = now + callTimeout;
    this->metrics.events("peer_fetch").Increment();
    this->fetch = std::make_unique<HttpExchange>(this->loop, peer, "/v1/directory", maximumAnswerBytes,
        [this](const HttpExchange::Result& result) { this->onFetched(result); });
}

void StoreReader::handleFetchFailure(const std::string& step, const std::string& reason)
{
    this->metrics.retries("fetch from peer", "peer_unavailable").Increment();
    this->log.log(EventLog::Importance::Notable, "peer_fetch_failed",
        { { "peer", formatEndpoint(this->fetchPeer) }, { "step", step }, { "reason", reason } });
    this->onFetchFailed(this->fetchPeer);
}

void StoreReader::onFetched(const HttpExchange::Result& result)
{
    const auto now = std::chrono::steady_clock::now();
    this->finishedExchange = std::move(this->fetch);
    if (result.status != httpOk) {
        this->handleFetchFailure(
            result.step, result.status == 0 ? result.reason : "HTTP status " + std::to_string(result.status));
        return;
    }
    const auto snapshot = decodeSnapshot(result.body);
    if (!snapshot) {
        this->handleFetchFailure("read answer", "answer is not a valid directory snapshot");
        return;
    }
    // The configuration is ordered by its own version.
    for (const DirectoryChange& change : snapshot->changes) {
        const auto* table = std::get_if<RouteTableWritten>(&change);
        if (table != nullptr && table->table.version > this->directory.routes().version) {
            this->apply({ change }, snapshot->version.revision, now);
        }
    }
    if (this->fetchPurpose == FetchPurpose::Completion && snapshot->version == this->directory.version()
        && !this->listing) {
        this->completeState(*snapshot, now);
        return;
    }
    const bool isUsable = this->fetchPurpose == FetchPurpose::Replacement && !this->listing
        ? snapshot->version >= this->directory.versionBegun()
        : snapshot->version > this->directory.versionBegun();
    if (!isUsable) {
        // This process's store calls have already reached this version, or have shown a later era.
        this->metrics.refusals("fetch from peer", "older_version").Increment();
        return;
    }
    this->replaceState(*snapshot, now);
}

void StoreReader::replaceState(const DirectorySnapshot& snapshot, TimePoint now)
{
    if (this->directory.follow(snapshot.version, now)) {
        this->logEra();
        // A watch that waits began at a revision of the earlier era, or at a false one.
        this->exchange.reset();
        this->nextCall = now;
    }
    this->directory.beginListing(snapshot.eraRevision, HostDirectory::Source::Peer);
    if (!snapshot.listsZones) {
        for (const auto& [zone, revision] : this->directory.evacuatedZones().requests()) {
            this->directory.apply(EvacuationChanged { zone, true, revision }, now);
        }
    }
    for (const std::string& host : snapshot.goneHosts) {
        this->directory.listGoneHost(host);
    }
    this->applyRetainedZones(snapshot, now);
    this->apply(snapshot.changes, snapshot.version.revision, now);
    this->verified = false;
    if (this->listing) {
        // The peer's state makes a listing in progress unnecessary, except that readers begin it again.
        this->listing = false;
        this->listAfter.clear();
        this->exchange.reset();
        this->nextCall = now;
    }
    if (snapshot.incomplete) {
        this->directory.markIncomplete(now);
    }
    if (snapshot.partial) {
        this->directory.abandonListing(snapshot.version.revision);
        this->onChange();
    } else {
        this->endListing(snapshot.version.revision, now);
    }
    this->log.log(EventLog::Importance::Notable, "peer_state_taken",
        { { "peer", formatEndpoint(this->fetchPeer) },
            { "revision", static_cast<std::int64_t>(snapshot.version.revision) },
            { "era", static_cast<std::int64_t>(snapshot.version.era) },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
}

void StoreReader::completeState(const DirectorySnapshot& snapshot, TimePoint now)
{
    std::vector<DirectoryChange> additions;
    for (const DirectoryChange& change : snapshot.changes) {
        const auto* host = std::get_if<HostWritten>(&change);
        if (host == nullptr || !this->directory.isRecordedGone(host->entry.id)) {
            additions.push_back(change);
        }
    }
    this->directory.beginListing(snapshot.eraRevision, HostDirectory::Source::Peer);
    this->apply(additions, snapshot.version.revision, now);
    this->directory.endMerge();
    this->metrics.events("peer_state_merged").Increment();
    this->log.log(EventLog::Importance::Notable, "peer_state_merged",
        { { "peer", formatEndpoint(this->fetchPeer) },
            { "revision", static_cast<std::int64_t>(snapshot.version.revision) } });
}

void StoreReader::applyRetainedZones(const DirectorySnapshot& snapshot, TimePoint now)
{
    bool changed = false;
    for (const RetainedZone& zone : snapshot.retainedZones) {
        changed = this->directory.applyRetainedZone(zone, snapshot.zoneRetention, now)
                == HostDirectory::Effect::EvacuationChanged
            || changed;
    }
    if (changed) {
        this->logEvacuations(snapshot.version.revision);
        this->onChange();
    }
}

void StoreReader::startCall(TimePoint now)
{
    if (!this->listing) {
        if (this->isReader() && !this->verified) {
            // What a reader has not read itself may be what peers have passed on with a gap.
            this->startListing(now);
        } else if (this->nextRoutineListing && now >= *this->nextRoutineListing) {
            this->nextRoutineListing.reset();
            this->startListing(now);
        } else if (!this->nextRoutineListing) {
            this->nextRoutineListing = now + routineListingInterval;
        }
    }
    this->callStart = now;
    this->callRevision = this->directory.revision();
    const milliseconds wait = this->role == Role::FirstReader ? firstReaderWatchWait : watchWait;
    const std::string target = this->listing ? platform::listTarget(this->listAfter)
                                             : platform::watchTarget(this->directory.revision(), wait);
    this->exchangeDeadline = now + callTimeout + (this->listing ? milliseconds(0) : wait);
    this->metrics.events("store_call").Increment();
    this->exchange = std::make_unique<HttpExchange>(this->loop, this->store, target, maximumAnswerBytes,
        [this](const HttpExchange::Result& result) { this->onResult(result); });
}

void StoreReader::handleFailure(const std::string& step, const std::string& reason, TimePoint now)
{
    this->metrics.retries("read store", "store_unavailable").Increment();
    if (!this->unavailable) {
        this->unavailable = true;
        this->log.log(EventLog::Importance::Notable, "store_lost",
            { { "step", step }, { "reason", reason },
                { "revision", static_cast<std::int64_t>(this->directory.revision()) },
                { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
    }
    this->nextCall = now + this->drawBackoff(this->backoff);
}

milliseconds StoreReader::drawBackoff(milliseconds& delay)
{
    delay = std::clamp(delay * 2, initialBackoff, maximumBackoff);
    const auto jitter = std::uniform_int_distribution<std::int64_t>(0, delay.count() / 2)(this->random);
    return delay / 2 + milliseconds(jitter);
}

void StoreReader::handleSuccess(TimePoint now)
{
    this->backoff = milliseconds(0);
    this->nextCall = now;
    this->answeredAt = now;
    if (this->unavailable) {
        this->unavailable = false;
        this->log.log(EventLog::Importance::Notable, "store_regained",
            { { "revision", static_cast<std::int64_t>(this->directory.revision()) } });
    }
}

void StoreReader::startListing(TimePoint now)
{
    this->listing = true;
    this->listAfter.clear();
    this->nextCall = now + this->listingDelay;
    this->listingDelay = this->drawBackoff(this->listingBackoff);
}

void StoreReader::beginCorrection(std::uint64_t statedRevision, TimePoint now)
{
    this->metrics.events("store_correction").Increment();
    this->log.log(EventLog::Importance::Notable, "store_revision_corrected",
        { { "revision", static_cast<std::int64_t>(this->callRevision) },
            { "stated_revision", static_cast<std::int64_t>(statedRevision) },
            { "era", static_cast<std::int64_t>(this->directory.storeEra()) } });
    this->directory.beginCorrection(now);
}

void StoreReader::logEra()
{
    this->metrics.events("store_era").Increment();
    this->log.log(EventLog::Importance::Notable, "store_era",
        { { "era", static_cast<std::int64_t>(this->directory.storeEra()) },
            { "correction", static_cast<std::int64_t>(this->directory.versionBegun().correction) },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
}

bool StoreReader::acceptEra(std::optional<std::uint64_t> stated, TimePoint now)
{
    const std::uint64_t known = this->directory.storeEra();
    const bool isFirstPage = this->listing && this->listAfter.empty();
    // A listing has to have all of its pages from one era; the first one begins it.
    const std::uint64_t expected = this->listing && !isFirstPage ? this->listEra : known;
    const std::uint64_t era = stated.value_or(expected);
    this->answerEra = era;
    if (era == expected || (isFirstPage && era > known)) {
        return true;
    }
    if (era < expected) {
        this->metrics.refusals("read store", "older_era").Increment();
        this->handleFailure("read store", "the answer is of an earlier era of the store", now);
        return false;
    }
    // The store has come back from an older copy. The changes of a watch began at a revision of the earlier era.
    this->startListing(now);
    return false;
}

void StoreReader::onResult(const HttpExchange::Result& result)
{
    const auto now = std::chrono::steady_clock::now();
    this->finishedExchange = std::move(this->exchange);
    const bool isAnswer = result.status == httpOk || result.status == httpGone;
    if (isAnswer && !this->acceptEra(platform::parseStoreEra(result.headers), now)) {
        return;
    }
    if (!this->listing && (result.status == httpGone || result.tooLarge)) {
        // The same watch would fail again; a listing has each entry once.
        this->log.log(EventLog::Importance::Notable, result.tooLarge ? "store_changes_too_large" : "store_history_gone",
            { { "revision", static_cast<std::int64_t>(this->directory.revision()) } });
        this->startListing(now);
        return;
    }
    if (result.status == 0) {
        this->handleFailure(result.step, result.reason, now);
        return;
    }
    if (result.status != httpOk) {
        this->handleFailure("read store", "HTTP status " + std::to_string(result.status), now);
        return;
    }
    try {
        if (this->listing) {
            this->applyListing(platform::parseListAnswer(result.body), now);
        } else {
            this->applyEvents(platform::parseWatchAnswer(result.body), now);
        }
    } catch (const Error& error) {
        this->handleFailure(error.step(), error.what(), now);
    }
}

void StoreReader::logHostWritten(const HostEntry& entry, std::uint64_t revision)
{
    this->log.log(EventLog::Importance::Notable, "host_changed",
        { { "host", entry.id }, { "state", entry.draining ? "draining" : "ready" }, { "service", entry.service },
            { "address", formatEndpoint(entry.address) }, { "revision", static_cast<std::int64_t>(revision) } });
}

void StoreReader::logHostRemoved(std::string_view host, std::uint64_t revision)
{
    this->log.log(EventLog::Importance::Notable, "host_changed",
        { { "host", host }, { "state", "gone" }, { "revision", static_cast<std::int64_t>(revision) } });
}

void StoreReader::logRefusedEntry(const DirectoryChange& change, std::uint64_t revision)
{
    const auto* refused = std::get_if<EntryRefused>(&change);
    const auto* host = std::get_if<HostRemoved>(&change);
    const std::string_view entry = refused != nullptr ? refused->entry
        : host != nullptr                             ? host->id
                                                      : std::string_view();
    this->metrics.refusals("read store", "malformed_entry").Increment();
    if (this->refusedEntries.record(entry)) {
        this->log.log(EventLog::Importance::Notable, "change_refused",
            { { "reason", "malformed_entry" }, { "entry", entry.substr(0, maximumLoggedEntry) },
                { "detail", refused != nullptr ? refused->reason : std::string_view("not the entry of a host") },
                { "revision", static_cast<std::int64_t>(revision) },
                { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
    }
}

void StoreReader::logEffect(const DirectoryChange& change, HostDirectory::Effect effect, std::uint64_t revision)
{
    const auto configuration = static_cast<std::int64_t>(this->directory.routes().version);
    switch (effect) {
    case HostDirectory::Effect::None:
        return;
    case HostDirectory::Effect::RefusedMalformed:
        this->logRefusedEntry(change, revision);
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
                       [&](const HostWritten& written) { this->logHostWritten(written.entry, revision); },
                       [&](const HostRemoved& removed) { this->logHostRemoved(removed.id, revision); },
                       [](const EntryRefused&) {},
                       [](const EvacuationChanged&) {},
                   },
            change);
        return;
    case HostDirectory::Effect::EvacuationChanged:
        this->logEvacuations(revision);
    }
}

void StoreReader::logEvacuations(std::uint64_t revision)
{
    std::string zones;
    for (const std::string& zone : this->directory.evacuatedZones().names()) {
        zones += (zones.empty() ? "" : ",") + zone;
    }
    this->log.log(EventLog::Importance::Notable, "zones_evacuated",
        { { "zones", zones }, { "revision", static_cast<std::int64_t>(revision) } });
}

bool StoreReader::apply(const std::vector<DirectoryChange>& changes, std::uint64_t revision, TimePoint now)
{
    bool changed = false;
    bool hasOlder = false;
    for (const DirectoryChange& change : changes) {
        const auto effect = this->directory.apply(change, now);
        if (effect != HostDirectory::Effect::RefusedMalformed) {
            std::visit(Overloaded {
                           [this](const RouteTableWritten&) { this->refusedEntries.erase("configuration"); },
                           [this](const HostWritten& written) { this->refusedEntries.erase(written.entry.id); },
                           [this](const HostRemoved& removed) { this->refusedEntries.erase(removed.id); },
                           [](const EntryRefused&) {},
                           [](const EvacuationChanged&) {},
                       },
                change);
        }
        changed = changed || effect == HostDirectory::Effect::HostsChanged
            || effect == HostDirectory::Effect::RoutesChanged || effect == HostDirectory::Effect::EvacuationChanged;
        // The configuration is ordered by its version.
        hasOlder = hasOlder
            || (effect == HostDirectory::Effect::RefusedOlder && !std::holds_alternative<RouteTableWritten>(change));
        this->logEffect(change, effect, revision);
    }
    if (changed) {
        this->onChange();
    }
    return hasOlder;
}

void StoreReader::endListing(std::uint64_t revision, TimePoint now)
{
    const bool wasListed = this->directory.isListed();
    const bool changed = this->directory.endListing(revision, now);
    if (changed || !wasListed) {
        this->onChange();
    }
}

void StoreReader::applyListing(const platform::StoreAnswer& answer, TimePoint now)
{
    if (this->listAfter.empty()) {
        // The pages of a listing are not a consistent snapshot. The watch therefore starts at the revision of the first
        // page, to receive all later changes.
        this->listRevision = answer.revision;
        this->listEra = this->answerEra;
        if (this->answerEra > this->directory.storeEra()) {
            this->directory.beginEra(this->answerEra, now);
            this->logEra();
        } else if (answer.revision < this->callRevision) {
            this->beginCorrection(answer.revision, now);
        }
        this->directory.beginListing(answer.revision);
    }
    const bool hasOlder = this->apply(answer.changes, answer.revision, now);
    this->listAfter = answer.nextAfter;
    this->handleSuccess(now);
    if (hasOlder && this->directory.revision() > 0) {
        // The answer is newer than everything that was known when the call was made, so that what is known is false.
        // In the first listing of an era or correction nothing is known, and an odd item contradicts another one.
        this->beginCorrection(answer.revision, now);
        this->startListing(now);
        return;
    }
    if (answer.revision < this->listRevision) {
        this->startListing(now); // the store has gone back between two pages
        return;
    }
    if (!this->listAfter.empty()) {
        return;
    }
    this->listing = false;
    this->verified = true;
    if (answer.incomplete) {
        this->directory.abandonListing(this->listRevision);
        this->onChange();
        // No host is missing from a listing whose further pages cannot be requested.
        this->metrics.refusals("read store", "listing_incomplete").Increment();
        this->log.log(EventLog::Importance::Notable, "listing_incomplete",
            { { "revision", static_cast<std::int64_t>(this->directory.revision()) } });
        return;
    }
    this->endListing(this->listRevision, now);
}

void StoreReader::applyEvents(const platform::StoreAnswer& answer, TimePoint now)
{
    if (answer.revision < this->callRevision) {
        this->handleSuccess(now);
        this->beginCorrection(answer.revision, now);
        this->startListing(now);
        return;
    }
    // The answer may be late: a peer's newer state may have been taken meanwhile. The directory refuses what is older.
    this->apply(answer.changes, answer.revision, now);
    this->directory.advanceTo(answer.revision);
    this->handleSuccess(now);
    this->listingBackoff = milliseconds(0);
    this->listingDelay = milliseconds(0);
    // A watch may be answered before its wait has passed, though nothing has changed.
    this->nextCall = answer.changes.empty() ? std::max(now, this->callStart + batchingDelay) : now + batchingDelay;
}

}
