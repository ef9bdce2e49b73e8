#include "FleetSimulation.h"

#include <algorithm>
#include <cstring>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

const std::string serviceName = "job";
const Endpoint serviceAddress { 0xC6120001, 443 };
constexpr std::uint32_t firstHostAddress = 0x0A000001;
constexpr std::uint32_t firstBalancerAddress = 0x0A010001;
constexpr std::uint16_t peerPort = 7000;

// The number of caller addresses matches the users' deployments.
constexpr std::uint32_t firstCallerAddress = 0x64400000;
constexpr std::uint32_t callerAddresses = 98;
constexpr std::uint32_t firstPort = 1024;
constexpr std::uint32_t portCount = 60000;

constexpr milliseconds firstRetransmission { 200 };
constexpr milliseconds secondRetransmission { 600 };
constexpr milliseconds tryTimeout { 1400 };
constexpr milliseconds tickInterval { 5 };

// Both ends repeat a packet that is not answered after 200 ms, and then at doubling intervals of at most 1.6 s.
constexpr milliseconds firstRepetition { 200 };
constexpr milliseconds longestRepetition { 1600 };
constexpr int maximumRepetitions = 8;

milliseconds repetitionDelay(int transmission)
{
    return std::min(firstRepetition * (1 << transmission), longestRepetition);
}

constexpr milliseconds helloInterval { 250 };

constexpr std::uint32_t payloadValue = 1; // requests and answers have a payload of this one byte
constexpr std::array<std::uint8_t, 1> payloadByte { payloadValue };

PayloadMetadata noPayloadMetadata(std::span<const std::uint8_t>) { return {}; }

}

struct FleetSimulation::Event {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> action;

    bool operator<(const Event& other) const
    {
        return this->when != other.when ? this->when > other.when : this->order > other.order;
    }
};

struct FleetSimulation::Caller {
    std::size_t request { 0 };
    int tryNumber { 0 };
    bool open { false };
    bool done { false };
    std::uint32_t hostSequence { 0 };
    bool accepted { false }; // the host has received the caller's packet that opens the flow
    int misdelivered { 0 }; // packets that reached other hosts since the last one that reached the owner
    TimePoint firstMisdelivery;
    bool misrouted { false };
};

struct FleetSimulation::HostFlow {
    std::uint32_t sequence { 0 }; // initial sequence number of the host
    bool accepted { false };
    bool requested { false };
    bool answered { false };
};

struct FleetSimulation::Host {
    std::unique_ptr<HostAdmission> admission;
    std::vector<AgentAction> actions;
    std::map<FlowKey, HostFlow> flows;
    std::deque<FlowKey> queue;
    std::uint32_t running { 0 };
    bool silent { false };
    bool crashed { false };
    std::map<Endpoint, std::vector<std::pair<FlowKey, FlowVerdict>>> verdicts;
};

struct FleetSimulation::Balancer {
    std::unique_ptr<HostDirectory> directory;
    std::unique_ptr<FlowPlacement> placement;
    std::unique_ptr<FlowSteering> steering;
    std::vector<SteeringAction> actions;
    bool lost { false };
    bool frozen { false };
    std::vector<FlowPacket> waiting;
};

FleetSimulation::Options FleetSimulation::arriagaDeployment(std::uint64_t seed)
{
    Options options;
    options.seed = seed;
    options.slots = 3;
    options.meanWork = Duration(16500);
    options.toCaller = milliseconds(3);
    options.toPeer = Duration(900);
    options.targetLatency = milliseconds(120);
    options.budget = milliseconds(1200);
    options.coldSlowdown = 1.6;
    options.coldFor = std::chrono::seconds(4);
    return options;
}

FleetSimulation::FleetSimulation(const Options& simulationOptions)
    : options(simulationOptions)
    , random(simulationOptions.seed)
    , start(TimePoint(std::chrono::hours(1)))
    , now(this->start)
    , hosts(simulationOptions.hosts)
    , balancers(simulationOptions.balancers)
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->resetHost(index);
    }
    for (std::size_t index = 0; index < this->balancers.size(); ++index) {
        this->resetBalancer(index);
    }
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::resetHost(std::size_t index)
{
    Host host;
    host.admission = std::make_unique<HostAdmission>(this->random(), serviceHash(serviceName), noPayloadMetadata,
        noPayloadMetadata, this->now - this->options.agentAge, std::chrono::minutes(1));
    host.silent = this->hosts[index].silent;
    host.crashed = this->hosts[index].crashed;
    this->hosts[index] = std::move(host);
}

void FleetSimulation::resetBalancer(std::size_t index)
{
    Balancer balancer;
    balancer.lost = this->balancers[index].lost;
    balancer.directory = std::make_unique<HostDirectory>();
    balancer.placement = std::make_unique<FlowPlacement>("zone", this->random());
    RouteTable table;
    table.version = 1;
    table.routes[serviceAddress]
        = { serviceName, true, std::chrono::duration_cast<milliseconds>(this->options.targetLatency),
              std::chrono::duration_cast<milliseconds>(this->options.budget), 1 };
    balancer.directory->beginListing();
    balancer.directory->apply(RouteTableWritten { table }, this->now);
    balancer.directory->endListing(0, this->now);
    std::vector<FlowPlacement::Agent> agents;
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        const Endpoint address { firstHostAddress + static_cast<std::uint32_t>(host), peerPort };
        agents.push_back({ address,
            { "host-" + std::to_string(host), serviceName, address, "zone", this->options.slots, false, {}, 0 },
            this->now });
    }
    balancer.placement->setAgents(agents, this->now);
    balancer.steering = std::make_unique<FlowSteering>(*balancer.directory, *balancer.placement, 125e6);
    this->balancers[index] = std::move(balancer);
}

void FleetSimulation::schedule(TimePoint when, std::function<void()> action)
{
    this->events.push({ when, this->eventCount++, std::move(action) });
}

void FleetSimulation::at(Duration when, std::function<void()> action)
{
    this->schedule(this->start + when, std::move(action));
}

void FleetSimulation::load(double perSecond, Duration from, Duration to)
{
    std::exponential_distribution<double> gap(perSecond);
    double seconds = std::chrono::duration<double>(from).count();
    for (;;) {
        seconds += gap(this->random);
        const auto when = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        if (when >= to) {
            return;
        }
        this->at(when, [this] { this->startRequest(); });
    }
}

FleetSimulation::Duration FleetSimulation::drawWork()
{
    const double mean = static_cast<double>(this->options.meanWork.count());
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const bool isLong = std::bernoulli_distribution(this->options.longShare)(this->random);
    const bool isCold = this->downUntil != TimePoint() && this->now < this->downUntil + this->options.coldFor;
    return Duration(static_cast<std::int64_t>(mean * spread(this->random) * (isLong ? this->options.longFactor : 1)
        * (isCold ? this->options.coldSlowdown : 1)));
}

double FleetSimulation::capacity() const
{
    const double mean = std::chrono::duration<double>(this->options.meanWork).count()
        * (1 + this->options.longShare * (this->options.longFactor - 1));
    return static_cast<double>(this->options.slots * this->hosts.size()) / mean;
}

std::span<const std::uint8_t> FleetSimulation::store(const FlowPacket& packet)
{
    this->packets.push_back(packet);
    const std::uint64_t index = this->packets.size() - 1;
    std::array<std::uint8_t, 8> bytes {};
    std::memcpy(bytes.data(), &index, sizeof(index));
    return this->datagrams.emplace_back(bytes);
}

const FlowPacket& FleetSimulation::stored(std::span<const std::uint8_t> datagram) const
{
    std::uint64_t index = 0;
    std::memcpy(&index, datagram.data(), sizeof(index));
    return this->packets[index];
}

void FleetSimulation::startRequest()
{
    this->results.push_back({ this->now, {}, false, false, 0, {} });
    this->endedTries.push_back(0);
    this->startTry(this->results.size() - 1);
}

void FleetSimulation::endTry(Caller& caller)
{
    this->endedTries[caller.request] += caller.done ? 0 : 1;
    caller.done = true;
}

void FleetSimulation::startTry(std::size_t request)
{
    // All tries of a request use the same caller address, each with a new port.
    const auto address = firstCallerAddress + static_cast<std::uint32_t>(request % callerAddresses);
    const std::uint32_t port = this->nextPort++ % portCount;
    const FlowKey key { { address, static_cast<std::uint16_t>(firstPort + port) }, serviceAddress };
    Caller& caller = this->callers[key];
    caller.request = request;
    FlowPacket first;
    first.source = key.caller;
    first.destination = key.service;
    first.opens = true;
    for (const auto& [copy, delay] : { std::pair { 0U, milliseconds(0) }, std::pair { 1U, firstRetransmission },
             std::pair { 2U, secondRetransmission } }) {
        first.acknowledgement = copy;
        this->schedule(this->now + delay + this->options.toCaller, [this, key, first] {
            const Caller& waiting = this->callers[key];
            const Outcome& outcome = this->results[waiting.request];
            const bool inBudget = this->now - outcome.start < this->options.budget;
            if (!waiting.open && !waiting.done && inBudget) {
                this->sendToBalancer(first);
            }
        });
    }
    this->schedule(this->now + tryTimeout, [this, key] {
        Caller& waiting = this->callers[key];
        if (!waiting.open) {
            this->endTry(waiting);
        }
    });
}

void FleetSimulation::sendToBalancer(const FlowPacket& packet)
{
    if (this->isDown() || this->isLost()) {
        return;
    }
    std::size_t index = (std::size_t { packet.source.port } * 7919U + this->rotation) % this->balancers.size();
    while (this->balancers[index].lost) {
        index = (index + 1) % this->balancers.size();
    }
    if (this->balancers[index].frozen) {
        this->balancers[index].waiting.push_back(packet);
        return;
    }
    this->processAtBalancer(index, packet);
}

void FleetSimulation::processAtBalancer(std::size_t index, const FlowPacket& packet)
{
    Balancer& balancer = this->balancers[index];
    balancer.steering->handlePacket(packet, this->store(packet), this->now, balancer.actions);
    this->applyBalancerActions(index);
}

void FleetSimulation::applyBalancerActions(std::size_t index)
{
    Balancer& balancer = this->balancers[index];
    const Endpoint own { firstBalancerAddress + static_cast<std::uint32_t>(index), peerPort };
    const std::uint64_t sentIn = this->epoch;
    for (const SteeringAction& action : balancer.actions) {
        if (const auto* reset = std::get_if<SendReset>(&action)) {
            FlowPacket packet;
            packet.source = reset->flow.service;
            packet.destination = reset->flow.caller;
            packet.resets = true;
            this->schedule(this->now + this->options.toCaller, [this, packet] { this->receiveAtCaller(packet); });
            continue;
        }
        if (const auto* question = std::get_if<AskAgents>(&action)) {
            for (const Endpoint& agent : question->agents) {
                this->sendQuery(agent.address - firstHostAddress, own, question->query);
            }
            continue;
        }
        if (!std::holds_alternative<SteerPacket>(action)) {
            continue;
        }
        const auto& steer = std::get<SteerPacket>(action);
        const FlowPacket packet = this->stored(steer.datagram);
        const std::size_t host = steer.agent.address - firstHostAddress;
        if (this->isLost()) {
            continue;
        }
        this->schedule(this->now + this->options.toPeer, [this, host, steer, packet, own, sentIn] {
            if (sentIn != this->epoch || this->hosts[host].silent) {
                return;
            }
            Host& target = this->hosts[host];
            const auto datagram = this->store(packet);
            if (steer.purpose == SteeringPurpose::NewFlow) {
                target.admission->handleNewFlow({ own, steer.waitLimit, steer.priority, steer.urgency, steer.slots },
                    steer.service, packet, datagram, this->now, target.actions);
            } else {
                target.admission->handleCallerPacket(
                    own, steer.service, steer.purpose, packet, datagram, this->now, target.actions);
            }
            this->applyAgentActions(host);
        });
    }
    balancer.actions.clear();
}

void FleetSimulation::sendQuery(std::size_t host, const Endpoint& balancer, const FlowQuery& query)
{
    if (this->isLost()) {
        return;
    }
    const std::uint64_t sentIn = this->epoch;
    this->schedule(this->now + this->options.toPeer, [this, host, balancer, query, sentIn] {
        if (sentIn != this->epoch || this->hosts[host].silent) {
            return;
        }
        Host& target = this->hosts[host];
        target.admission->handleQuery(balancer, query, this->now, target.actions);
        this->applyAgentActions(host);
    });
}

void FleetSimulation::applyAgentActions(std::size_t index)
{
    Host& host = this->hosts[index];
    const auto actions = std::move(host.actions);
    host.actions.clear();
    for (const AgentAction& action : actions) {
        if (const auto* delivery = std::get_if<DeliverToBackendServer>(&action)) {
            this->deliverToHost(index, this->stored(delivery->datagram));
        } else if (const auto* answer = std::get_if<DeliverToCaller>(&action)) {
            const FlowPacket packet = this->stored(answer->datagram);
            if (this->isLost()) {
                continue;
            }
            this->schedule(this->now + this->options.toCaller, [this, packet] { this->receiveAtCaller(packet); });
        } else if (const auto* verdict = std::get_if<SendVerdict>(&action)) {
            host.verdicts[verdict->balancer].emplace_back(verdict->flow, verdict->verdict);
        }
    }
    this->report(index);
}

void FleetSimulation::report(std::size_t index)
{
    Host& host = this->hosts[index];
    const Endpoint own { firstHostAddress + static_cast<std::uint32_t>(index), peerPort };
    AgentLoad load = host.admission->load(this->now);
    load.reportsChanges = true;
    const std::uint64_t sentIn = this->epoch;
    for (std::size_t balancer = 0; balancer < this->balancers.size(); ++balancer) {
        const Endpoint address { firstBalancerAddress + static_cast<std::uint32_t>(balancer), peerPort };
        auto verdicts = std::move(host.verdicts[address]);
        host.verdicts[address].clear();
        if (this->isLost()) {
            continue;
        }
        this->schedule(this->now + this->options.toPeer, [this, balancer, own, load, verdicts, sentIn] {
            Balancer& target = this->balancers[balancer];
            if (sentIn != this->epoch || target.lost || target.frozen) {
                return;
            }
            target.placement->report(own, load, this->now);
            for (const auto& [flow, verdict] : verdicts) {
                target.steering->handleVerdict(own, flow, verdict, this->now, target.actions);
            }
            this->applyBalancerActions(balancer);
        });
    }
}

bool FleetSimulation::isLost()
{
    return this->options.lossShare > 0 && std::bernoulli_distribution(this->options.lossShare)(this->random);
}

void FleetSimulation::acceptFirstPacket(std::size_t index, const FlowKey& key)
{
    const auto [flow, added] = this->hosts[index].flows.try_emplace(key);
    if (!added) {
        if (!flow->second.accepted) {
            this->answerFirstPacket(index, key, maximumRepetitions);
        }
        return;
    }
    flow->second.sequence = static_cast<std::uint32_t>(this->random());
    const bool slow
        = this->options.slowAnswerShare > 0 && std::bernoulli_distribution(this->options.slowAnswerShare)(this->random);
    const std::uint64_t deliveredIn = this->epoch;
    this->schedule(this->now + (slow ? this->options.slowAnswer : Duration(0)), [this, index, key, deliveredIn] {
        if (deliveredIn == this->epoch) {
            this->answerFirstPacket(index, key, 0);
        }
    });
}

// Sends the answer to a first packet and repeats it until the caller has accepted it.
void FleetSimulation::answerFirstPacket(std::size_t index, const FlowKey& key, int transmission)
{
    Host& host = this->hosts[index];
    const auto flow = host.flows.find(key);
    if (flow == host.flows.end() || flow->second.accepted) {
        return;
    }
    FlowPacket answer;
    answer.source = key.service;
    answer.destination = key.caller;
    answer.opens = true;
    answer.acknowledges = true;
    answer.sequence = flow->second.sequence;
    this->sendFromHost(index, answer);
    if (transmission >= maximumRepetitions) {
        return;
    }
    const std::uint64_t sentIn = this->epoch;
    this->schedule(this->now + repetitionDelay(transmission), [this, index, key, transmission, sentIn] {
        if (sentIn == this->epoch) {
            this->answerFirstPacket(index, key, transmission + 1);
        }
    });
}

// Tracks whether the packets of an open flow reach the host at which it is open.
void FleetSimulation::recordDelivery(std::size_t index, const FlowKey& key)
{
    const auto found = this->callers.find(key);
    if (found == this->callers.end() || !found->second.open || found->second.done) {
        return;
    }
    Caller& caller = found->second;
    const auto flow = this->hosts[index].flows.find(key);
    if (flow != this->hosts[index].flows.end() && flow->second.sequence == caller.hostSequence) {
        caller.accepted = true;
        caller.misdelivered = 0;
        return;
    }
    if (!caller.accepted || caller.misrouted) {
        return;
    }
    if (caller.misdelivered++ == 0) {
        caller.firstMisdelivery = this->now;
    }
    if (caller.misdelivered >= misroutedPackets && this->now - caller.firstMisdelivery >= misroutingTime) {
        caller.misrouted = true;
        ++this->misrouted;
    }
}

void FleetSimulation::deliverToHost(std::size_t index, const FlowPacket& packet)
{
    Host& host = this->hosts[index];
    const FlowKey key = packet.keyFromCaller();
    if (packet.isFirst()) {
        this->acceptFirstPacket(index, key);
        return;
    }
    this->recordDelivery(index, key);
    const auto flow = host.flows.find(key);
    if (flow == host.flows.end() || (!flow->second.accepted && packet.acknowledgement != flow->second.sequence + 1)) {
        FlowPacket back = packet;
        back.returned = true;
        this->sendFromHost(index, back);
        return;
    }
    flow->second.accepted = true;
    if (flow->second.answered) {
        this->sendAnswer(index, key);
    } else if (!packet.payload.empty() && !flow->second.requested) {
        flow->second.requested = true;
        host.queue.push_back(key);
        this->startQueuedRuns(index);
    }
    if (packet.finishes) {
        host.flows.erase(key);
    }
}

void FleetSimulation::sendAnswer(std::size_t index, const FlowKey& key)
{
    FlowPacket answer;
    answer.source = key.service;
    answer.destination = key.caller;
    answer.payload = payloadByte;
    answer.finishes = true;
    this->sendFromHost(index, answer);
}

void FleetSimulation::startQueuedRuns(std::size_t index)
{
    Host& host = this->hosts[index];
    while (host.running < this->options.slots && !host.queue.empty()) {
        const FlowKey key = host.queue.front();
        host.queue.pop_front();
        ++host.running;
        const std::uint64_t begunIn = this->epoch;
        Outcome& outcome = this->results[this->callers[key].request];
        ++outcome.runs;
        outcome.work = this->drawWork();
        this->schedule(this->now + outcome.work, [this, index, key, begunIn] {
            if (begunIn != this->epoch) {
                return;
            }
            Host& answering = this->hosts[index];
            --answering.running;
            if (const auto flow = answering.flows.find(key); flow != answering.flows.end()) {
                flow->second.answered = true;
            }
            this->sendAnswer(index, key);
            this->startQueuedRuns(index);
        });
    }
}

void FleetSimulation::sendFromHost(std::size_t index, const FlowPacket& packet)
{
    Host& host = this->hosts[index];
    if (host.silent || host.crashed || this->isDown()) {
        return;
    }
    const std::uint64_t sentIn = this->epoch;
    this->schedule(this->now, [this, index, packet, sentIn] {
        if (sentIn != this->epoch) {
            return;
        }
        Host& source = this->hosts[index];
        source.admission->handleBackendServerPacket(packet, this->store(packet), this->now, source.actions);
        this->applyAgentActions(index);
    });
}

// Sends the packet that opens the flow and carries the request, and repeats it until the answer has arrived.
void FleetSimulation::sendRequest(const FlowPacket& packet, int transmission)
{
    const Caller& caller = this->callers[packet.keyFromCaller()];
    const Outcome& outcome = this->results[caller.request];
    if (caller.done || this->now - outcome.start >= this->options.budget) {
        return;
    }
    this->schedule(this->now + this->options.toCaller, [this, packet] { this->sendToBalancer(packet); });
    this->schedule(this->now + repetitionDelay(transmission),
        [this, packet, transmission] { this->sendRequest(packet, transmission + 1); });
}

void FleetSimulation::receiveAtCaller(const FlowPacket& packet)
{
    const auto found = this->callers.find(packet.keyFromBackendServer());
    if (found == this->callers.end() || found->second.done) {
        return;
    }
    Caller& caller = found->second;
    Outcome& outcome = this->results[caller.request];
    const bool inBudget = this->now - outcome.start < this->options.budget;
    if (packet.resets) {
        this->endTry(caller);
        this->openResets += caller.open ? 1 : 0;
        ++caller.tryNumber;
        outcome.end = this->now;
        outcome.refused = true;
        const std::size_t request = caller.request;
        if (inBudget && this->endedTries[request] < this->options.tries) {
            this->startTry(request);
        }
        return;
    }
    FlowPacket next;
    next.source = packet.destination;
    next.destination = packet.source;
    next.acknowledges = true;
    if (packet.opens && !caller.open) {
        caller.open = true;
        caller.hostSequence = packet.sequence;
        next.acknowledgement = packet.sequence + 1;
        next.payload = payloadByte;
        this->sendRequest(next, 0);
    } else if (!packet.payload.empty()) {
        this->endTry(caller);
        outcome.end = this->now;
        outcome.served = inBudget;
        outcome.refused = false;
        next.acknowledgement = caller.hostSequence + 1;
        next.finishes = true;
        this->schedule(this->now + this->options.toCaller, [this, next] { this->sendToBalancer(next); });
    }
}

void FleetSimulation::tick()
{
    if (!this->isDown()) {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (!this->hosts[index].silent) {
                this->hosts[index].admission->tick(this->now, this->hosts[index].actions);
                this->applyAgentActions(index);
            }
        }
        for (std::size_t index = 0; index < this->balancers.size(); ++index) {
            if (!this->balancers[index].lost && !this->balancers[index].frozen) {
                this->balancers[index].steering->tick(this->now, this->balancers[index].actions);
                this->applyBalancerActions(index);
            }
        }
    }
    this->schedule(this->now + tickInterval, [this] { this->tick(); });
}

void FleetSimulation::loseBalancer(std::size_t index)
{
    this->balancers[index].lost = true;
    this->resetBalancer(index);
}

void FleetSimulation::restoreBalancer(std::size_t index)
{
    this->balancers[index].lost = false;
    this->resetBalancer(index);
}

void FleetSimulation::freezeBalancer(std::size_t index) { this->balancers[index].frozen = true; }

void FleetSimulation::resumeBalancer(std::size_t index)
{
    Balancer& balancer = this->balancers[index];
    balancer.frozen = false;
    const auto waiting = std::move(balancer.waiting);
    balancer.waiting.clear();
    for (const FlowPacket& packet : waiting) {
        this->processAtBalancer(index, packet);
    }
}

void FleetSimulation::silenceHost(std::size_t index) { this->hosts[index].silent = true; }

void FleetSimulation::crashBackendServer(std::size_t index) { this->hosts[index].crashed = true; }

void FleetSimulation::failAll(Duration back)
{
    this->downUntil = this->start + back;
    ++this->epoch;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->resetHost(index);
    }
    for (std::size_t index = 0; index < this->balancers.size(); ++index) {
        this->resetBalancer(index);
    }
}

void FleetSimulation::run(Duration length)
{
    this->schedule(this->now, [this] { this->tick(); });
    while (!this->events.empty() && this->events.top().when <= this->start + length) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.when;
        event.action();
    }
}

double FleetSimulation::shareInTime(Duration from, Duration to) const
{
    std::size_t all = 0;
    std::size_t inTime = 0;
    for (const Outcome& outcome : this->results) {
        if (outcome.start >= this->start + from && outcome.start < this->start + to) {
            ++all;
            inTime += outcome.served && outcome.end - outcome.start <= this->options.targetLatency ? 1U : 0U;
        }
    }
    return all == 0 ? 0 : static_cast<double>(inTime) / static_cast<double>(all);
}

double FleetSimulation::meanRequestValue(Duration from, Duration to, double lateValue) const
{
    const double inTime = this->shareInTime(from, to);
    return inTime + (this->shareServed(from, to) - inTime) * lateValue;
}

FleetSimulation::Duration FleetSimulation::networkDelay() const
{
    // The handshake and the request take a round trip each; packets from the caller also pass from balancer to agent.
    return 4 * this->options.toCaller + 2 * this->options.toPeer;
}

FleetSimulation::Duration FleetSimulation::meanDelay() const
{
    Duration total { 0 };
    std::int64_t served = 0;
    for (const Outcome& outcome : this->results) {
        if (outcome.served) {
            total += std::chrono::duration_cast<Duration>(outcome.end - outcome.start) - outcome.work
                - this->networkDelay();
            ++served;
        }
    }
    return served == 0 ? total : total / served;
}

double FleetSimulation::shareThatFits() const
{
    std::size_t ran = 0;
    std::size_t fits = 0;
    for (const Outcome& outcome : this->results) {
        ran += outcome.runs > 0 ? 1U : 0U;
        fits += outcome.runs > 0 && outcome.work + this->networkDelay() <= this->options.targetLatency ? 1U : 0U;
    }
    return ran == 0 ? 0 : static_cast<double>(fits) / static_cast<double>(ran);
}

double FleetSimulation::shareServed(Duration from, Duration to) const
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const Outcome& outcome : this->results) {
        if (outcome.start >= this->start + from && outcome.start < this->start + to) {
            ++all;
            served += outcome.served ? 1U : 0U;
        }
    }
    return all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
}

}
