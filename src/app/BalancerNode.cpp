#include "app/BalancerNode.h"

#include "coordination/HelloInterval.h"
#include "platform/PacketFormat.h"
#include "platform/Readiness.h"
#include "platform/SettingsFile.h"
#include "support/BootClock.h"
#include "support/Overloaded.h"
#include "support/RandomNumber.h"
#include "transport/AdminServer.h"

#include <algorithm>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

// Maximum number of receive batches per call, so that timers and the other socket are served under load.
constexpr int maximumBatchesPerCall = 8;

// Interval of hellos to other balancers. Those to agents have a longer one in large fleets.
constexpr milliseconds helloInterval { 250 };

// Maximum number of balancers listed in a hello, to keep it small. A peer learns of all balancers from several others.
constexpr std::size_t maximumListedPeers = 16;

// A process that reads the store fetches from a peer only after it has been behind for this long: a watch normally
// reports a change within milliseconds, and 150 ms later if it follows another change.
constexpr milliseconds readerLagLimit { 600 };

// Delays before a difference from peers at the same store version is resolved. It may pass by itself, since the pages
// of a listing can be newer than its version. Readers list the store first; the others then take the first reader's
// entries. All is done within 3 s.
constexpr milliseconds readerResolutionDelay { 300 };
constexpr milliseconds resolutionDelayOfOthers { 900 };

// Bounds of the interval at which a difference that remains is resolved again.
constexpr milliseconds minimumResolutionDelay { 500 };
constexpr milliseconds maximumResolutionDelay { 30000 };

// Interval of the check for hosts that have been missing for too long.
constexpr milliseconds expiryInterval { 200 };

// The routers probe readiness twice a second and remove a node after two failed probes. The process therefore runs for
// at least minimumStopTime after SIGTERM, and until no packet has arrived for quietStopTime.
constexpr milliseconds minimumStopTime { 1500 };
constexpr milliseconds quietStopTime { 500 };

// The process exits at the latest this long before the platform kills it.
constexpr milliseconds stopMargin { 700 };

std::string formatOffers(const OpeningHistory& history)
{
    std::string text;
    for (const OfferOutcome& offer : history.offers) {
        text += fmt::format("{}{} {} after {} ms", text.empty() ? "" : ", ", formatEndpoint(offer.agent),
            offer.verdict ? flowVerdictName(*offer.verdict) : "no verdict", offer.delay.count());
    }
    return text;
}

// The event loop wakes up at least every 250 ms; a gap longer than this limit means that the process was paused. First
// packets queued during the pause are discarded, because their callers have resent them or given up.
constexpr milliseconds maximumLoopGap { 600 };

}

BalancerNode::BalancerNode(NodeSettings nodeSettings, std::string settingsPath)
    : settings(std::move(nodeSettings))
    , incarnation(drawRandomNumber())
    , log(this->settings.instance, STDOUT_FILENO)
    , packetSocket(this->settings.packetAddress)
    , peerSocket(this->settings.peerAddress)
    , reload(std::move(settingsPath), platform::readSettingsFile, this->settings, this->log, this->metrics,
          [this](const NodeSettings& next) { this->onSettings(next); })
    , placement(this->settings.availabilityZone, this->incarnation)
    , steering(this->directory, this->placement, this->settings.linkBytesPerSecond)
    , reader(
          this->settings.store, this->loop, this->directory, this->log, this->metrics, this->incarnation,
          [this] { this->onDirectoryChange(); },
          [this](const Endpoint& peer) { this->peers.fetchFailed(peer, std::chrono::steady_clock::now()); })
    , peers(this->settings.peerAddress)
{
    this->onSettings(this->settings);
}

void BalancerNode::onSettings(const NodeSettings& next)
{
    this->reader.setStore(next.store);
    std::vector<Endpoint> seeds;
    seeds.reserve(next.seedAddresses.size());
    for (const std::uint32_t address : next.seedAddresses) {
        // The peer port is the same on all machines.
        seeds.push_back({ address, this->settings.peerAddress.port });
    }
    this->peers.setSeeds(std::move(seeds));
}

void BalancerNode::learnPeers(const std::vector<std::uint32_t>& addresses, TimePoint now)
{
    std::vector<Endpoint> endpoints;
    endpoints.reserve(addresses.size());
    for (const std::uint32_t address : addresses) {
        endpoints.push_back({ address, this->settings.peerAddress.port });
    }
    this->peers.addReportedPeers(endpoints, now);
}

void BalancerNode::handleHello(const Endpoint& peer, const HelloMessage& hello, TimePoint now)
{
    this->peers.recordHello(peer, hello.state, now);
    this->learnPeers(hello.balancers, now);
    this->synchronizeWithPeers(now);
}

bool BalancerNode::fetchNewerState(bool isReader, TimePoint now)
{
    const bool behind = this->peers.newestVersion(now) > this->directory.versionBegun();
    if (this->reader.isFetching()) {
        return behind;
    }
    const auto newerConfiguration = this->peers.peerWithNewerConfiguration(this->directory.routes().version, now);
    if (newerConfiguration && now >= this->nextConfigurationFetch) {
        this->nextConfigurationFetch = now + 2 * helloInterval;
        this->reader.fetchFrom(*newerConfiguration, StoreReader::FetchPurpose::Newer, now);
        return behind;
    }
    const auto peer = behind ? this->peers.newerPeer(this->directory.versionBegun(), now) : std::nullopt;
    if (!peer) {
        this->behindSince.reset();
        return behind;
    }
    if (!this->behindSince) {
        this->behindSince = now;
    }
    // A process that reads the store gets changes from it, unless its calls fail or hang.
    const bool readsItself = this->reader.available() && isReader;
    if (!readsItself || now - *this->behindSince >= readerLagLimit) {
        this->reader.fetchFrom(*peer, StoreReader::FetchPurpose::Newer, now);
    }
    return behind;
}

void BalancerNode::resolveDifference(bool isReader, TimePoint now)
{
    if (!this->differentSince) {
        this->differentSince = now;
        if (now - this->lastDifference >= maximumResolutionDelay) {
            this->resolutionDelay = milliseconds(0);
        }
    }
    this->lastDifference = now;
    const bool listsStore = isReader && this->reader.available();
    const auto delay = listsStore ? readerResolutionDelay : resolutionDelayOfOthers;
    if (now - *this->differentSince < delay || now < this->nextResolution || this->reader.isFetching()) {
        return;
    }
    const auto reference = this->peers.referencePeer(this->announced, now);
    const bool isFirstReader = listsStore && this->peers.readersBefore(now) == 0;
    if (!reference && !isFirstReader) {
        return; // the first reader has the same entries, so that the balancers which differ from it take them
    }
    this->resolutionDelay = std::clamp(this->resolutionDelay * 2, minimumResolutionDelay, maximumResolutionDelay);
    this->nextResolution = now + this->resolutionDelay;
    this->metrics.events("state_difference").Increment();
    this->log.log(EventLog::Importance::Notable, "state_difference",
        { { "revision", static_cast<std::int64_t>(this->announced.version.revision) },
            { "step", listsStore ? "list store" : "fetch from peer" },
            { "peer", reference ? formatEndpoint(*reference) : "" } });
    if (listsStore) {
        this->reader.listAgain(now);
        return;
    }
    const bool storeAnswers = this->peers.isStoreAnsweringPeer(now);
    this->reader.fetchFrom(
        *reference, storeAnswers ? StoreReader::FetchPurpose::Replacement : StoreReader::FetchPurpose::Completion, now);
}

void BalancerNode::synchronizeWithPeers(TimePoint now)
{
    const std::size_t readersBefore = this->peers.readersBefore(now);
    const bool isReader = this->peers.isReader(now);
    if (isReader) {
        this->reader.setRole(readersBefore == 0 ? StoreReader::Role::FirstReader : StoreReader::Role::Reader);
    } else {
        const bool isListed = this->directory.hasRoutes() && this->directory.isListed();
        this->reader.setRole(isListed ? StoreReader::Role::None : StoreReader::Role::Starting);
    }
    if (!this->listedSince && this->directory.isListed()) {
        this->listedSince = now;
    }
    const bool behind = this->fetchNewerState(isReader, now);
    const bool different = this->peers.isAnyDifferent(this->announced, now);
    if (different) {
        this->resolveDifference(isReader, now);
    } else {
        this->differentSince.reset();
    }
    // A peer with other entries is heard of within two hellos. Until then this process may have a gap without knowing
    // it.
    const bool isCompared = this->listedSince && now - *this->listedSince >= 2 * helloInterval;
    this->directory.setBehind(behind || different || !isCompared || this->peers.isAnyAwaitingHosts(now));
}

void BalancerNode::logSelections()
{
    for (const FlowPlacement::EntrySelection& selection : this->placement.takeSelections()) {
        this->log.log(EventLog::Importance::Notable, "entry_selected",
            { { "agent", formatEndpoint(selection.agent) }, { "host", selection.host },
                { "service", selection.service }, { "entries", static_cast<std::int64_t>(selection.entries) },
                { "reported", selection.reported ? 1 : 0 } });
    }
}

void BalancerNode::onDirectoryChange()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<FlowPlacement::Agent> agents;
    for (const KnownHost* host : this->directory.hosts()) {
        // Agents receive packets on the same port on every machine.
        const Endpoint address { host->entry.address.address, this->settings.packetAddress.port };
        agents.push_back({ address, host->entry, host->learnedAt });
        agents.back().host.draining = host->isDraining();
    }
    this->placement.setEvacuatedZones(this->directory.evacuatedZones().names());
    if (this->placement.setAgents(agents, now)) {
        this->nextAgentHello = now; // asks for reports
    }
    this->logSelections();
    this->configurationVersion = this->directory.routes().version;
    // Before the first listing has ended, hosts and evacuated zones may be missing.
    const bool usable = this->directory.hasRoutes() && this->directory.isListed() && !agents.empty();
    if (usable && !this->ready && !this->stopping) {
        this->ready = true;
        this->log.log(EventLog::Importance::Notable, "ready",
            { { "configuration", static_cast<std::int64_t>(this->directory.routes().version) },
                { "hosts", static_cast<std::int64_t>(agents.size()) } });
    }
    this->snapshot.update(this->directory, now);
    this->nextHello = now; // announces the new revision to peers at once
    this->steering.retryWaiting(now, this->actions);
    this->perform();
}

void BalancerNode::sendSteeredPacket(const SteerPacket& packet)
{
    const std::size_t headerLength = this->messages.encodePacketHeader(packet, this->peerSocket.headerSpace());
    this->peerSocket.queue(packet.agent, headerLength, packet.datagram);
    if (packet.purpose == SteeringPurpose::KnownFlow) {
        return;
    }
    const auto decoded = platform::decodePacket(packet.datagram);
    if (!decoded) {
        return;
    }
    if (packet.purpose == SteeringPurpose::Recover) {
        this->metrics.events("flow_tried").Increment();
        this->log.log(EventLog::Importance::Routine, "flow_tried",
            { { "flow", formatFlow(decoded->keyFromCaller()) }, { "agent", formatEndpoint(packet.agent) } });
        return;
    }
    this->log.log(EventLog::Importance::Routine, "flow_offered",
        { { "flow", formatFlow(decoded->keyFromCaller()) }, { "agent", formatEndpoint(packet.agent) },
            { "wait_limit_ms", packet.waitLimit.count() }, { "expected_wait_us", packet.expectedWait.count() },
            { "load_age_ms", packet.loadAge.count() }, { "copy", decoded->acknowledgement },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
}

void BalancerNode::sendQuery(const AskAgents& question)
{
    const auto datagram = this->messages.encode(question.query);
    for (const Endpoint& agent : question.agents) {
        this->peerSocket.queue(agent, 0, datagram);
    }
    this->peerSocket.flush(); // the socket refers to the datagram
    this->metrics.events("flow_query").Increment(static_cast<double>(question.agents.size()));
    this->log.log(EventLog::Importance::Routine, "flow_searched",
        { { "flow", formatFlow(question.query.flow) }, { "stage", static_cast<int>(question.stage) + 1 },
            { "agents", static_cast<std::int64_t>(question.agents.size()) },
            { "hosts_complete", this->directory.isCurrent() ? 1 : 0 } });
}

void BalancerNode::logFailedSearch(const ReportFailedSearch& search)
{
    this->metrics.refusals("search flow", std::string(search.reason)).Increment();
    this->log.log(EventLog::Importance::Notable, "search_failed",
        { { "flow", formatFlow(search.flow) }, { "reason", search.reason },
            { "hosts_complete", this->directory.isCurrent() ? 1 : 0 } });
}

void BalancerNode::sendReset(const SendReset& action)
{
    this->metrics.refusals("steer flow", std::string(action.reason)).Increment();
    this->log.log(EventLog::Importance::Notable, "flow_reset",
        { { "flow", formatFlow(action.flow) }, { "reason", action.reason },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) },
            { "first_copy", action.history.firstTransmission }, { "last_copy", action.history.lastTransmission },
            { "age_ms", action.history.age.count() }, { "offers", formatOffers(action.history) } });
    const auto datagram = platform::encodeReset(action.flow.service, action.flow.caller, action.sequence);
    this->packetSocket.queue({ action.flow.caller.address, this->settings.packetAddress.port }, 0, datagram);
    this->packetSocket.flush();
}

void BalancerNode::logWithheldReset(const WithholdReset& action)
{
    this->metrics.events("reset_withheld").Increment();
    this->log.log(EventLog::Importance::Notable, "reset_withheld",
        { { "flow", formatFlow(action.flow) }, { "reason", action.reason },
            { "first_copy", action.history.firstTransmission }, { "last_copy", action.history.lastTransmission },
            { "age_ms", action.history.age.count() }, { "offers", formatOffers(action.history) } });
}

void BalancerNode::logSkippedService(const ReportSkippedService& skipped)
{
    this->metrics.events("service_skipped").Increment();
    this->log.log(EventLog::Importance::Routine, "service_skipped",
        { { "flow", formatFlow(skipped.flow) }, { "selected", skipped.selected }, { "used", skipped.used },
            { "configuration", static_cast<std::int64_t>(this->directory.routes().version) } });
}

void BalancerNode::perform()
{
    for (const SteeringAction& action : this->actions) {
        std::visit(Overloaded {
                       [this](const SteerPacket& packet) { this->sendSteeredPacket(packet); },
                       [this](const SendReset& flow) { this->sendReset(flow); },
                       [this](const WithholdReset& flow) { this->logWithheldReset(flow); },
                       [this](const ReportSkippedService& flow) { this->logSkippedService(flow); },
                       [this](const AskAgents& question) { this->sendQuery(question); },
                       [this](const ReportFailedSearch& search) { this->logFailedSearch(search); },
                   },
            action);
    }
    this->actions.clear();
    this->peerSocket.flush();
}

void BalancerNode::receivePackets()
{
    for (int batch = 0; batch < maximumBatchesPerCall; ++batch) {
        const auto datagrams = this->packetSocket.receive();
        if (datagrams.empty()) {
            this->discardingStalePackets = false;
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        this->lastPacket = now;
        for (const ReceivedDatagram& datagram : datagrams) {
            const auto packet = platform::decodePacket(datagram.bytes);
            if (!packet) {
                this->metrics.drops("steer flow", "malformed").Increment();
                continue;
            }
            if (this->discardingStalePackets && packet->isFirst()) {
                this->metrics.drops("steer flow", "stale_after_pause").Increment();
                continue;
            }
            this->steering.handlePacket(*packet, datagram.bytes, now, this->actions);
            this->perform();
        }
    }
}

void BalancerNode::handleReport(const Endpoint& agent, const ReportMessage& message, TimePoint now)
{
    if (!this->placement.report(agent, message.load, now)) {
        this->metrics.drops("take report", "old_or_unknown").Increment();
    }
    this->logSelections();
    this->learnPeers(message.balancers, now);
    for (const VerdictMessage& item : message.verdicts) {
        this->steering.handleVerdict(agent, item.flow, item.verdict, now, this->actions);
        this->perform();
        if (isRefusal(item.verdict)) {
            this->metrics.retries("steer flow", std::string(flowVerdictName(item.verdict))).Increment();
            this->log.log(EventLog::Importance::Notable, "flow_refused_by_agent",
                { { "flow", formatFlow(item.flow) }, { "agent", formatEndpoint(agent) },
                    { "verdict", flowVerdictName(item.verdict) }, { "working", message.load.working },
                    { "opening", message.load.opening }, { "held", message.load.held },
                    { "slots", message.load.slots } });
        }
    }
}

void BalancerNode::receivePeerMessages()
{
    for (int batch = 0; batch < maximumBatchesPerCall; ++batch) {
        const auto datagrams = this->peerSocket.receive();
        if (datagrams.empty()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        for (const ReceivedDatagram& datagram : datagrams) {
            const auto message = this->messages.decode(datagram.bytes);
            if (message && std::holds_alternative<ReportMessage>(*message)) {
                this->handleReport(datagram.source, std::get<ReportMessage>(*message), now);
            } else if (message && std::holds_alternative<HelloMessage>(*message)) {
                this->handleHello(datagram.source, std::get<HelloMessage>(*message), now);
            } else {
                this->metrics.drops("take message", "malformed").Increment();
            }
        }
    }
}

void BalancerNode::sendHellos(TimePoint now)
{
    this->nextHello = now + helloInterval;
    // Between two eras the entries belong to neither version.
    const bool isWhole = this->directory.isListed() && this->directory.versionBegun() == this->directory.version();
    const std::uint64_t before = this->announced.digest;
    this->announced = { this->incarnation, this->directory.version(), this->reader.available(),
        isWhole ? this->directory.digest() : 0, this->directory.routes().version,
        std::chrono::duration_cast<milliseconds>(now - this->reader.lastAnswer().value_or(now)),
        this->directory.awaitsHosts() };
    // A snapshot says how much longer hosts are cold or what an earlier era said of them holds.
    if (this->snapshot.version() != this->directory.version() || this->announced.digest != before
        || this->directory.hasColdHost(now) || this->directory.hasRetention(now)) {
        this->snapshot.update(this->directory, now);
    }
    const auto zones = this->directory.evacuatedZones().names();
    HelloMessage message { this->announced, {}, { zones.begin(), zones.end() },
        !this->directory.evacuatedZones().retentionEnd() };
    for (const Endpoint& peer : this->peers.livePeers(now, maximumListedPeers)) {
        message.balancers.push_back(peer.address);
    }
    const auto hello = this->messages.encode(message);
    if (now >= this->nextAgentHello) {
        const auto agents = this->placement.agents();
        this->nextAgentHello = now + agentHelloInterval(agents.size());
        for (const Endpoint& agent : agents) {
            this->peerSocket.queue(agent, 0, hello);
        }
    }
    for (const Endpoint& peer : this->peers.helloTargets(now)) {
        this->peerSocket.queue(peer, 0, hello);
    }
    this->peerSocket.flush();
}

void BalancerNode::detectPause(std::chrono::nanoseconds now)
{
    const auto gap = now - this->lastWakeup;
    if (this->lastWakeup.count() != 0 && gap > maximumLoopGap) {
        this->discardingStalePackets = true;
        this->metrics.events("paused").Increment();
        this->log.log(EventLog::Importance::Notable, "paused",
            { { "gap_ms", std::chrono::duration_cast<milliseconds>(gap).count() } });
    }
    this->lastWakeup = now;
}

void BalancerNode::expireHosts(TimePoint now)
{
    const bool changed = this->directory.expire(now);
    for (const std::string& host : this->directory.takeExpiredHosts()) {
        this->log.log(EventLog::Importance::Notable, "host_expired",
            { { "host", host }, { "revision", static_cast<std::int64_t>(this->directory.revision()) },
                { "era", static_cast<std::int64_t>(this->directory.storeEra()) } });
    }
    if (changed) {
        this->onDirectoryChange();
    }
}

void BalancerNode::tick(TimePoint now)
{
    this->synchronizeWithPeers(now);
    this->reader.tick(now);
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->expireHosts(now);
    }
    const bool lostStore = this->announced.storeAvailable && !this->reader.available();
    if (now >= this->nextHello || lostStore) {
        this->sendHellos(now); // others have to read the store at once in place of a reader that has lost it
    }
    if (now >= this->steering.nextTick()) {
        this->steering.tick(now, this->actions);
        this->perform();
    }
    this->flowCount = this->steering.flowCount();
    this->reload.check(false, now);
    this->log.flush();
}

std::chrono::milliseconds BalancerNode::timeout(TimePoint now) const
{
    TimePoint next = std::min({ this->reader.nextTick(), this->nextHello, this->steering.nextTick() });
    if (this->stopping) {
        next = std::min(next, now + milliseconds(100));
    }
    return std::clamp(std::chrono::ceil<milliseconds>(next - now), milliseconds(0), milliseconds(250));
}

void BalancerNode::startShutdown(TimePoint now)
{
    if (!this->stopping) {
        this->stopping = true;
        this->ready = false;
        this->stopSince = now;
        this->log.log(EventLog::Importance::Notable, "stopping",
            { { "flows", static_cast<std::int64_t>(this->steering.flowCount()) } });
    }
}

bool BalancerNode::isStopped(TimePoint now) const
{
    if (!this->stopping) {
        return false;
    }
    const auto since = now - this->stopSince;
    return since >= this->settings.stopGrace - stopMargin
        || (since >= minimumStopTime && now - this->lastPacket >= quietStopTime);
}

std::string BalancerNode::status() const
{
    return fmt::format(R"({{"role":"balancer","instance":"{}","configuration":{},"flows":{},"ready":{}}})",
        this->settings.instance, this->configurationVersion.load(), this->flowCount.load(), this->ready.load());
}

void BalancerNode::run()
{
    const AdminServer admin({ this->settings.readyAddress, this->settings.metricsAddress, this->settings.peerAddress },
        this->metrics,
        { [this] { return this->ready.load(); }, [this] { return this->status(); }, platform::readinessPath,
            [this] { return this->snapshot.encoded(); } });
    this->log.log(EventLog::Importance::Notable, "started",
        { { "packets", formatEndpoint(this->settings.packetAddress) },
            { "peers", formatEndpoint(this->settings.peerAddress) },
            { "store", formatEndpoint(this->settings.store) } });
    this->loop.add(this->packetSocket.descriptor(), EPOLLIN, [this](std::uint32_t) { this->receivePackets(); });
    this->loop.add(this->peerSocket.descriptor(), EPOLLIN, [this](std::uint32_t) { this->receivePeerMessages(); });
    this->loop.add(this->signals.descriptor(), EPOLLIN, [this](std::uint32_t) {
        const auto now = std::chrono::steady_clock::now();
        const SignalWatch::Requests requests = this->signals.consume();
        if (requests.reload) {
            this->reload.check(true, now);
        }
        if (requests.stop) {
            this->startShutdown(now);
        }
    });
    while (!this->isStopped(std::chrono::steady_clock::now())) {
        this->tick(std::chrono::steady_clock::now());
        this->loop.wait(this->timeout(std::chrono::steady_clock::now()));
        this->detectPause(timeSinceBoot());
        this->loop.dispatch();
    }
    this->log.log(EventLog::Importance::Notable, "stopped", {});
    this->log.flush();
}

}
