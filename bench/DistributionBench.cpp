// Measures the distribution of configuration at the design size. Runs only the decision classes, in one process and in
// simulated time.
// Usage: DistributionBench [MEMBERS [documents|slopes|failures]]   (default: 70000, every part)

#include "app/DistributionMessages.h"
#include "coordination/DistributionNode.h"
#include "coordination/DistributionTree.h"
#include "protocol/ConfigurationDocument.h"
#include "state/ConfigurationStore.h"
#include "state/ConfigurationView.h"
#include "state/DocumentPatch.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

using namespace chicoryferry;

namespace {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t zoneCount = 34;
constexpr std::size_t regionCount = 12;
constexpr std::size_t designMembers = 70000;
constexpr double changesPerDay = 44000;
constexpr double secondsPerDay = 86400;
constexpr std::uint64_t seed = 20261204;

// Length of one simulation step. Messages take 1 step within a region and 80 between regions.
constexpr std::chrono::microseconds stepLength { 500 };
constexpr std::size_t intraRegionSteps = 1;
constexpr std::size_t interRegionSteps = 80;
constexpr std::size_t timerWheelSlots = 512;

// Time that each node takes to apply an update before it forwards it: the cost of patching a document of nearly 1 MB.
constexpr std::size_t applySteps = 200;

// Interval at which each member's timers are run.
constexpr std::size_t tickSteps = 500;

// Time that the platform takes to answer, and the interval at which its pending queries are checked.
constexpr std::chrono::milliseconds platformDelay { 2 };
constexpr std::size_t platformSteps = 4;

// Overhead per message: IPv4 and TCP headers with timestamps, the ZeroMQ frame, and an acknowledgement without data in
// the other direction.
constexpr double overheadBytes = 52 + 2 + 52;

// CPU time of this process. Unlike elapsed time, it is not inflated by other load on the machine.
double processorMs(std::clock_t since) { return static_cast<double>(std::clock() - since) * 1000 / CLOCKS_PER_SEC; }

const char* verdict(bool met) { return met ? "met" : "MISSED"; }

void printGoal(const std::string& what, const std::string& goal, const std::string& figure, bool met)
{
    fmt::print("| {} | {} | {} | {} |\n", what, goal, figure, verdict(met));
}

double bytesOf(const wire::PeerMessage& message) { return static_cast<double>(message.ByteSizeLong()) + overheadBytes; }

// A message between two members.
struct SimulatedMessage {
    enum class Kind {
        Subscribe,
        Update,
        Confirm,
    };

    std::uint32_t from { 0 };
    std::uint32_t to { 0 };
    Kind kind { Kind::Subscribe };
    DistributionNode::Subscription subscription;
    DistributionNode::PeerReport report;
};

struct Member {
    std::unique_ptr<DistributionNode> node;
    HeldVersions held;
    std::string name;
    std::uint32_t zone { 0 };
    std::uint32_t region { 0 };
    std::uint64_t treeVersion { 0 };
    bool alive { false };
    bool partitioned { false };
    TimePoint joinedAt;
    std::uint64_t sent { 0 };
    std::uint64_t received { 0 };
    double bytes { 0 };
};

struct PendingPlatformQuery {
    std::uint32_t member { 0 };
    QueryPlatform action;
    TimePoint requestedAt;
};

// Simulates all members, the messages between them, and the platform.
class Simulation {
public:
    explicit Simulation(std::size_t count)
    {
        this->members.reserve(count * 2);
        for (std::size_t index = 0; index < count; ++index) {
            this->addMember(static_cast<std::uint32_t>(index % zoneCount));
        }
        this->publishInstanceList();
        this->publishConfiguration();
    }

    std::uint32_t addMember(std::uint32_t zone)
    {
        const auto index = static_cast<std::uint32_t>(this->members.size());
        Member member;
        member.name = fmt::format("instance-{}", index);
        member.zone = zone;
        member.region = static_cast<std::uint32_t>(zone * regionCount / zoneCount);
        member.alive = true;
        member.node = std::make_unique<DistributionNode>(member.name, zoneName(zone));
        this->members.push_back(std::move(member));
        return index;
    }

    void stopMember(std::uint32_t index) { this->members[index].alive = false; }

    // Publishes a list of the members that are alive now. The scenarios call this with a delay after a change, because
    // the platform's list lags behind.
    void publishInstanceList()
    {
        auto list = std::make_shared<InstanceList>();
        list->version = ++this->instancesVersion;
        for (std::uint32_t index = 0; index < this->members.size(); ++index) {
            const Member& member = this->members[index];
            if (member.alive) {
                list->instances.push_back({ member.name, InstanceRole::Agent, zoneName(member.zone), 1, {},
                    Endpoint { index, 1 }, {}, InstanceState::Live });
            }
        }
        this->trees[list->version] = std::make_shared<const DistributionTree>(list);
    }

    void publishConfiguration()
    {
        ++this->configurationVersion;
        this->publishedAt.push_back(this->time);
        this->lastReachedAt.push_back(this->time);
    }

    void run(std::chrono::milliseconds duration, double changesPerSecond = 0)
    {
        std::exponential_distribution<double> pause(changesPerSecond > 0 ? changesPerSecond : 1);
        TimePoint nextChange = this->time + toDuration(pause(this->random));
        for (const TimePoint end = this->time + duration; this->time < end;) {
            if (changesPerSecond > 0 && this->time >= nextChange) {
                // One change in ten is a burst of ten within half a second.
                const bool burst = this->random() % 10 == 0;
                for (int change = 0; change < (burst ? 10 : 1); ++change) {
                    this->publishConfiguration();
                    for (int step = 0; burst && step < 100; ++step) {
                        this->step();
                    }
                }
                // Bursts raise the mean number of changes per event to 1.9, so the pauses are longer by the same
                // factor.
                nextChange = this->time + toDuration(pause(this->random) * 1.9);
            }
            this->step();
        }
    }

    void resetCounters()
    {
        for (Member& member : this->members) {
            member.sent = member.received = 0;
            member.bytes = 0;
        }
        this->platformCalls = 0;
        this->decisionMs = 0;
        this->firstMeasured = this->configurationVersion;
    }

    // Sorted times in seconds from the publication of a version until it reached the last member that had joined before
    // the publication, for the versions since resetCounters().
    std::vector<double> propagationTimes() const
    {
        std::vector<double> times;
        for (std::size_t version = this->firstMeasured; version < this->publishedAt.size(); ++version) {
            times.push_back(Seconds(this->lastReachedAt[version] - this->publishedAt[version]).count());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    std::size_t membersBehind() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->members.begin(), this->members.end(), [&](const Member& member) {
                return member.alive
                    && (!member.node->joined() || member.held.configuration < this->configurationVersion);
            }));
    }

    // Runs until no member is behind or the limit has passed. Returns the simulated seconds that this took.
    double runUntilConverged(std::chrono::seconds limit)
    {
        const TimePoint start = this->time;
        while (this->time - start<limit&& this->membersBehind()> 0) {
            this->run(std::chrono::milliseconds(50));
        }
        return Seconds(this->time - start).count();
    }

    std::size_t aliveCount() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->members.begin(), this->members.end(), [](const Member& member) { return member.alive; }));
    }

    std::vector<Member> members;
    std::mt19937_64 random { seed };
    TimePoint time { std::chrono::hours(1) };
    std::uint64_t configurationVersion { 0 };
    std::uint64_t platformCalls { 0 };
    double decisionMs { 0 }; // CPU time of the decision classes and of the message simulation

private:
    static std::string zoneName(std::uint32_t zone) { return fmt::format("zone-{}", zone); }

    static TimePoint::duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<TimePoint::duration>(Seconds(seconds));
    }

    void step()
    {
        const std::clock_t before = std::clock();
        std::vector<SimulatedMessage> due;
        due.swap(this->timerWheel[this->stepCount % timerWheelSlots]);
        for (const SimulatedMessage& message : due) {
            this->deliver(message);
        }
        for (std::size_t index = this->stepCount % tickSteps; index < this->members.size(); index += tickSteps) {
            if (this->members[index].alive) {
                this->executeActions(static_cast<std::uint32_t>(index), this->members[index].node->tick(this->time));
            }
        }
        this->answerPlatformQueries();
        this->decisionMs += processorMs(before);
        ++this->stepCount;
        this->time += stepLength;
    }

    bool connected(const Member& left, const Member& right) const { return left.partitioned == right.partitioned; }

    // The sample is a wire message of the same kind; its size is counted as sent.
    void sendMessage(std::uint32_t from, std::uint32_t to, SimulatedMessage message, const wire::PeerMessage& sample)
    {
        Member& sender = this->members[from];
        ++sender.sent;
        sender.bytes += bytesOf(sample);
        if (to >= this->members.size() || !this->members[to].alive || !this->connected(sender, this->members[to])) {
            return;
        }
        message.from = from;
        message.to = to;
        const std::size_t networkSteps
            = sender.region == this->members[to].region ? intraRegionSteps : interRegionSteps;
        const std::size_t delay = networkSteps + (message.kind == SimulatedMessage::Kind::Update ? applySteps : 0);
        this->timerWheel[(this->stepCount + delay) % timerWheelSlots].push_back(message);
    }

    void deliver(const SimulatedMessage& message)
    {
        Member& member = this->members[message.to];
        if (!member.alive) {
            return;
        }
        ++member.received;
        if (message.kind == SimulatedMessage::Kind::Subscribe) {
            this->executeActions(message.to, member.node->subscribeReceived(this->time, message.subscription));
            return;
        }
        if (message.kind == SimulatedMessage::Kind::Update) {
            this->applyVersions(message.to, message.report.held.configuration, message.report.held.instances);
        }
        this->executeActions(message.to, member.node->reportReceived(this->time, message.report));
    }

    void applyVersions(std::uint32_t index, std::uint64_t version, std::uint64_t list)
    {
        Member& member = this->members[index];
        if (version <= member.held.configuration && list <= member.held.instances) {
            return;
        }
        for (std::uint64_t reached = member.held.configuration; reached < version; ++reached) {
            if (member.node->joined() && member.joinedAt <= this->publishedAt[reached]) {
                this->lastReachedAt[reached] = this->time;
            }
        }
        member.held.configuration = std::max(member.held.configuration, version);
        member.held.configurationHash = member.held.configuration;
        member.held.historyComplete = true;
        if (list > member.held.instances) {
            member.held.instances = list;
            member.node->treeChanged(this->time, this->trees.at(list));
        }
        this->executeActions(index, member.node->heldVersionsChanged(this->time, member.held));
    }

    void executeActions(std::uint32_t index, const DistributionActions& actions)
    {
        Member& member = this->members[index];
        if (member.node->joined() && member.joinedAt == TimePoint {}) {
            member.joinedAt = this->time;
        }
        for (const DistributionAction& action : actions) {
            if (const auto* subscribe = std::get_if<SendSubscribe>(&action)) {
                this->sendSubscribe(index, *subscribe);
            } else if (const auto* update = std::get_if<SendUpdate>(&action)) {
                this->sendUpdate(index, *update);
            } else if (const auto* confirm = std::get_if<SendConfirm>(&action)) {
                const SimulatedMessage message
                    = this->makeReport(index, confirm->sequence, SimulatedMessage::Kind::Confirm);
                this->sendMessage(index, confirm->peer.address, message, this->confirmSample);
            } else if (const auto* query = std::get_if<QueryPlatform>(&action)) {
                ++this->platformCalls;
                this->platformQueries.push_back({ index, *query, this->time });
            }
        }
    }

    void sendSubscribe(std::uint32_t index, const SendSubscribe& action)
    {
        SimulatedMessage message;
        message.subscription.peer = { index, 1 };
        message.subscription.sequence = action.sequence;
        message.subscription.held = this->members[index].held;
        message.subscription.once = action.once;
        this->sendMessage(index, action.peer.address, message, this->subscribeSample);
    }

    void sendUpdate(std::uint32_t index, const SendUpdate& action)
    {
        const SimulatedMessage message = this->makeReport(index, action.sequence, SimulatedMessage::Kind::Update);
        this->sendMessage(index, action.peer.address, message, this->updateSample);
    }

    SimulatedMessage makeReport(std::uint32_t index, std::uint64_t sequence, SimulatedMessage::Kind kind) const
    {
        const Member& member = this->members[index];
        SimulatedMessage message;
        message.kind = kind;
        message.report.sequence = sequence;
        message.report.held = member.held;
        if (const auto confirmed = member.node->confirmedAt()) {
            message.report.confirmationAge
                = std::chrono::duration_cast<std::chrono::milliseconds>(this->time - *confirmed);
        }
        return message;
    }

    void answerPlatformQueries()
    {
        if (this->stepCount % platformSteps != 0) {
            return;
        }
        std::vector<PendingPlatformQuery> pending;
        pending.swap(this->platformQueries);
        for (const PendingPlatformQuery& query : pending) {
            this->answerPlatformQuery(query);
        }
    }

    void answerPlatformQuery(const PendingPlatformQuery& query)
    {
        Member& member = this->members[query.member];
        if (!member.alive) {
            return;
        }
        DistributionNode::PlatformAnswer answer { query.action.kind, DistributionNode::PlatformResult::Failed,
            query.action.after, 0, query.action.wait, query.requestedAt, this->time };
        const bool configuration = query.action.kind == DocumentKind::Configuration;
        const std::uint64_t version = configuration ? this->configurationVersion : this->instancesVersion;
        const bool newer = version > query.action.after;
        const bool delayElapsed = this->time - query.requestedAt >= platformDelay;
        if (!delayElapsed || (!newer && !member.partitioned && this->time - query.requestedAt < query.action.wait)) {
            this->platformQueries.push_back(query);
            return;
        }
        // A partitioned region cannot reach the platform either.
        if (!member.partitioned && newer) {
            answer.result = DistributionNode::PlatformResult::Accepted;
            answer.version = version;
            this->applyVersions(query.member, configuration ? version : 0, configuration ? 0 : version);
        } else if (!member.partitioned) {
            answer.result = DistributionNode::PlatformResult::Unchanged;
        }
        this->executeActions(query.member, member.node->platformAnswered(this->time, answer));
    }

    static wire::PeerMessage withSender(wire::PeerMessage message)
    {
        message.mutable_sender()->set_instance("instance-123456");
        message.mutable_sender()->set_incarnation(1);
        return message;
    }

    static wire::PeerMessage sampleUpdate()
    {
        wire::PeerMessage message = makeConfirm({ {}, 1000 }, { 1000, 1000, 1, true }, std::chrono::milliseconds(500));
        wire::PeerMessage update;
        wire::Document& document = *update.mutable_update()->mutable_configuration();
        document.set_version(1000);
        document.set_base_version(999);
        document.set_content_hash(1);
        // The size of a patch that replaces a host: one removal, one insertion and the version.
        document.set_content(std::string(420, 'x'));
        update.mutable_update()->set_sequence(message.confirm().sequence());
        update.mutable_update()->set_configuration_version(1000);
        update.mutable_update()->set_configuration_hash(1);
        update.mutable_update()->set_instances_version(1000);
        return withSender(update);
    }

    std::vector<std::vector<SimulatedMessage>> timerWheel { timerWheelSlots };
    std::vector<PendingPlatformQuery> platformQueries;
    std::map<std::uint64_t, std::shared_ptr<const DistributionTree>> trees;
    std::vector<TimePoint> publishedAt; // indexed by version - 1
    std::vector<TimePoint> lastReachedAt;
    std::size_t firstMeasured { 0 };
    std::uint64_t instancesVersion { 0 };
    std::size_t stepCount { 0 };
    wire::PeerMessage subscribeSample
        = withSender(makeSubscribe({ {}, 1000 }, { 1000, 1000, 1, true }, parseEndpoint("10.111.111.111:11111")));
    wire::PeerMessage confirmSample
        = withSender(makeConfirm({ {}, 1000 }, { 1000, 1000, 1, true }, std::chrono::milliseconds(500)));
    wire::PeerMessage updateSample = sampleUpdate();
};

double percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

double allocatedMegabytes() { return static_cast<double>(mallinfo2().uordblks) / 1e6; }

struct Traffic {
    double meanMessages { 0 };
    double busiestMessages { 0 };
    double meanBytes { 0 };
    double busiestBytes { 0 };
};

Traffic measureTraffic(const Simulation& simulation, double seconds)
{
    Traffic traffic;
    for (const Member& member : simulation.members) {
        const double messages = static_cast<double>(member.sent + member.received) / seconds;
        const double bytes = member.bytes / seconds;
        traffic.meanMessages += messages;
        traffic.meanBytes += bytes;
        traffic.busiestMessages = std::max(traffic.busiestMessages, messages);
        traffic.busiestBytes = std::max(traffic.busiestBytes, bytes);
    }
    traffic.meanMessages /= static_cast<double>(simulation.members.size());
    traffic.meanBytes /= static_cast<double>(simulation.members.size());
    return traffic;
}

const double changeRate = changesPerDay / secondsPerDay;

void reportSlopes(std::size_t largest)
{
    fmt::print("\n## Slopes: 30 s at 44,000 changes a day, by members\n\n"
               "| members | spread p50 s | spread max s | messages/s a node, mean | busiest | bytes/s sent, mean | "
               "busiest | platform calls/s | decision time a node, us/s | memory a node, KB |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t members : { std::size_t { 1000 }, std::size_t { 5000 }, std::size_t { 20000 }, largest }) {
        const double before = allocatedMegabytes();
        Simulation simulation(members);
        simulation.runUntilConverged(std::chrono::seconds(30));
        simulation.run(std::chrono::seconds(5));
        simulation.resetCounters();
        constexpr double seconds = 30;
        simulation.run(std::chrono::seconds(30), changeRate);
        const Traffic traffic = measureTraffic(simulation, seconds);
        const double memory = (allocatedMegabytes() - before) * 1000 / static_cast<double>(members);
        const double calls = static_cast<double>(simulation.platformCalls) / seconds;
        const double decision = simulation.decisionMs * 1000 / seconds / static_cast<double>(members);
        simulation.runUntilConverged(std::chrono::seconds(30));
        const auto times = simulation.propagationTimes();
        fmt::print("| {} | {:.3f} | {:.3f} | {:.1f} | {:.1f} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {:.2f} |\n", members,
            percentile(times, 0.5), times.empty() ? 0 : times.back(), traffic.meanMessages, traffic.busiestMessages,
            traffic.meanBytes, traffic.busiestBytes, calls, decision, memory);
        if (members == largest) {
            fmt::print("\n| measure | goal | figure | |\n| --- | --- | --- | --- |\n");
            printGoal("in force everywhere, slowest version", "13 s", fmt::format("{:.3f} s", times.back()),
                times.back() <= 13);
            printGoal("bytes sent, busiest node", "21 KB/s", fmt::format("{:.2f} KB/s", traffic.busiestBytes / 1000),
                traffic.busiestBytes <= 21000);
            printGoal("platform calls", "2,000/s", fmt::format("{:.0f}/s", calls), calls <= 2000);
        }
        std::fflush(stdout);
    }
}

void reportStart(Simulation& simulation)
{
    const double seconds = simulation.runUntilConverged(std::chrono::seconds(60));
    const double calls = static_cast<double>(simulation.platformCalls) / seconds;
    printGoal(
        "start of all members at once, until all are ready", "13 s", fmt::format("{:.2f} s", seconds), seconds <= 13);
    printGoal("start of all members at once, platform calls", "2,000/s", fmt::format("{:.0f}/s", calls), calls <= 2000);
}

void reportPropagation(const std::string& what, Simulation& simulation, double seconds)
{
    const double calls = static_cast<double>(simulation.platformCalls) / seconds;
    const Traffic traffic = measureTraffic(simulation, seconds);
    simulation.runUntilConverged(std::chrono::seconds(60));
    const auto times = simulation.propagationTimes();
    const double slowest = times.empty() ? 0 : times.back();
    printGoal(what + ", slowest version", "13 s",
        fmt::format("{:.3f} s (p50 {:.3f} s, {} versions)", slowest, percentile(times, 0.5), times.size()),
        slowest <= 13);
    printGoal(what + ", platform calls", "2,000/s", fmt::format("{:.0f}/s", calls), calls <= 2000);
    printGoal(what + ", bytes sent, busiest node", "21 KB/s", fmt::format("{:.2f} KB/s", traffic.busiestBytes / 1000),
        traffic.busiestBytes <= 21000);
    std::fflush(stdout);
}

// Simulates a day's failures and replacements within two minutes. The instance list is published every 5 s.
void reportDay(Simulation& simulation)
{
    constexpr int rounds = 24;
    const double scale = static_cast<double>(simulation.aliveCount()) / static_cast<double>(designMembers);
    const auto failures = static_cast<std::size_t>(190 * scale / rounds) + 1;
    const auto replacements = static_cast<std::size_t>(5200 * scale / rounds) + 1;
    simulation.resetCounters();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t change = 0; change < failures + replacements; ++change) {
            const auto index = static_cast<std::uint32_t>(simulation.random() % simulation.members.size());
            if (simulation.members[index].alive) {
                simulation.stopMember(index);
                simulation.addMember(simulation.members[index].zone);
            }
        }
        simulation.run(std::chrono::milliseconds(4000), changeRate);
        simulation.publishInstanceList();
        simulation.run(std::chrono::milliseconds(1000), changeRate);
    }
    reportPropagation(
        fmt::format("a day's {} failures and {} replacements in 120 s", failures * rounds, replacements * rounds),
        simulation, 120);
}

void reportZoneLoss(Simulation& simulation)
{
    simulation.resetCounters();
    std::vector<std::uint32_t> lost;
    for (std::uint32_t index = 0; index < simulation.members.size(); ++index) {
        if (simulation.members[index].alive && simulation.members[index].zone == 0) {
            simulation.stopMember(index);
            lost.push_back(index);
        }
    }
    simulation.run(std::chrono::seconds(15), changeRate);
    simulation.publishInstanceList();
    simulation.run(std::chrono::seconds(5), changeRate);
    reportPropagation("loss of a zone", simulation, 20);
    for (std::size_t index = 0; index < lost.size(); ++index) {
        simulation.addMember(0);
    }
    simulation.resetCounters();
    const double secondsToRejoin = simulation.runUntilConverged(std::chrono::seconds(60));
    const double calls = static_cast<double>(simulation.platformCalls) / secondsToRejoin;
    const std::string what = fmt::format("return of its {} members, not listed yet", lost.size());
    printGoal(what + ", until all are ready", "13 s", fmt::format("{:.2f} s", secondsToRejoin), secondsToRejoin <= 13);
    printGoal(what + ", platform calls", "2,000/s", fmt::format("{:.0f}/s", calls), calls <= 2000);
    simulation.publishInstanceList();
    simulation.run(std::chrono::seconds(10));
}

void reportPartition(Simulation& simulation)
{
    for (Member& member : simulation.members) {
        member.partitioned = member.region == 0;
    }
    simulation.resetCounters();
    simulation.run(std::chrono::seconds(300), changeRate);
    const std::size_t behind = simulation.membersBehind();
    const double calls = static_cast<double>(simulation.platformCalls) / 300;
    for (Member& member : simulation.members) {
        member.partitioned = false;
    }
    const double secondsToRejoin = simulation.runUntilConverged(std::chrono::seconds(60));
    printGoal(fmt::format("a region cut off for 300 s ({} members behind), joined again", behind), "13 s",
        fmt::format("{:.2f} s", secondsToRejoin), secondsToRejoin <= 13);
    printGoal("platform calls meanwhile", "2,000/s", fmt::format("{:.0f}/s", calls), calls <= 2000);
}

void reportFailures(std::size_t members)
{
    fmt::print("\n## Failures at {} members\n\n| case | goal | figure | |\n| --- | --- | --- | --- |\n", members);
    Simulation simulation(members);
    reportStart(simulation);
    simulation.run(std::chrono::seconds(5));
    simulation.resetCounters();
    simulation.run(std::chrono::seconds(60), changeRate);
    reportPropagation("60 s at 44,000 changes a day with bursts", simulation, 60);
    reportDay(simulation);
    reportZoneLoss(simulation);
    reportPartition(simulation);
}

// Makes a compact configuration document with 3.1 hosts per service, the ratio of the design size.
std::string documentText(std::uint64_t version, std::size_t hosts, std::size_t drained)
{
    const std::size_t services = std::max<std::size_t>(1, hosts * 10 / 31);
    nlohmann::json document { { "version", version }, { "retention", "600s" }, { "services", nlohmann::json::array() },
        { "callerGroups", { { { "name", "a" }, { "prefixes", { "0.0.0.0/0" } } } } },
        { "bindings", nlohmann::json::array() }, { "hosts", nlohmann::json::array() } };
    for (std::size_t index = 0; index < services; ++index) {
        const std::string name = fmt::format("s{}", index);
        document["services"].push_back({ { "name", name },
            { "address", fmt::format("10.1.{}.{}", index / 250, index % 250 + 1) }, { "port", 80 } });
        document["bindings"].push_back({ { "service", name }, { "callers", "a" }, { "selector", "s=" + name } });
    }
    for (std::size_t index = 0; index < hosts; ++index) {
        const std::string address = fmt::format("10.{}.{}.{}", 2 + index / 62500, index / 250 % 250, index % 250 + 1);
        document["hosts"].push_back({ { "name", fmt::format("h{}", index) }, { "incarnation", 1 },
            { "availabilityZone", fmt::format("z{}", index % zoneCount) }, { "dataAddress", address + ":1" },
            { "peerAddress", address + ":2" }, { "slots", 2 }, { "state", index < drained ? "draining" : "active" },
            { "labels", { { "s", fmt::format("s{}", index % services) } } } });
    }
    return document.dump();
}

// Mean CPU time of one run of the work. Each run gets its own copy of the input, which is made before the measurement.
template <typename Input, typename Work> double milliseconds(int repeats, const Input& input, Work work)
{
    std::vector<Input> inputs(static_cast<std::size_t>(repeats), input);
    const std::clock_t start = std::clock();
    for (Input& each : inputs) {
        work(each);
    }
    return processorMs(start) / repeats;
}

Configuration makeConfiguration(std::size_t hosts)
{
    const nlohmann::json document = nlohmann::json::parse(documentText(1, hosts, 0));
    Configuration configuration;
    configuration.version = 1;
    configuration.callerGroups.push_back({ "all", { { 0, 0 } } });
    for (const auto& service : document["services"]) {
        Service added;
        added.name = service["name"];
        added.id = serviceId(added.name);
        added.endpoint = { parseAddress(service["address"].get<std::string>()), 80 };
        configuration.services.push_back(added);
        configuration.bindings.push_back({ added.name, "all", Selector::parse("s=" + added.name) });
    }
    for (const auto& host : document["hosts"]) {
        Host added;
        added.name = host["name"];
        added.dataAddress = parseEndpoint(host["dataAddress"].get<std::string>());
        added.peerAddress = parseEndpoint(host["peerAddress"].get<std::string>());
        added.labels = host["labels"].get<std::map<std::string, std::string>>();
        configuration.hosts.push_back(added);
    }
    return configuration;
}

void reportDocuments()
{
    fmt::print(
        "\n## Cost of a configuration change, by hosts (ms; 3.1 hosts a service, one host changed)\n\n"
        "| hosts | document KB | parse and check | view | patch bytes | reader: take text | relay and leaf: take "
        "patch | share of a core at 44,000 a day | goal 1.4 % | memory of documents and view, MB |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t hosts :
        { std::size_t { 100 }, std::size_t { 1000 }, std::size_t { 5000 }, std::size_t { 20000 } }) {
        const int repeats = hosts <= 1000 ? 20 : 3;
        const std::string text = documentText(1, hosts, 0);
        const auto configuration = std::make_shared<const Configuration>(makeConfiguration(hosts));
        const auto instances = std::make_shared<const InstanceList>();
        const double view = milliseconds(repeats, 0, [&](int) { ConfigurationView(configuration, instances, {}); });
        if (text.size() > maximumDocumentBytes) {
            fmt::print("| {} | {} | refused: above 1 MB | {:.2f} | - | - | - | - | - | - |\n", hosts,
                text.size() / 1000, view);
            continue;
        }
        const double parse = milliseconds(repeats, 0, [&](int) { parseConfiguration(text); });
        const double before = allocatedMegabytes();
        ConfigurationStore base;
        base.offerText(Clock::now(), DocumentKind::Instances, R"({"version":1,"instances":[]})");
        base.offerText(Clock::now(), DocumentKind::Configuration, text);
        const double memory = allocatedMegabytes() - before;
        const std::string next = documentText(2, hosts, 1);
        DocumentTransfer patch;
        const double readerCost = milliseconds(repeats, base, [&](ConfigurationStore& reader) {
            reader.offerText(Clock::now(), DocumentKind::Configuration, next);
            patch = reader.transferTo(DocumentKind::Configuration, 1);
        });
        const double leafCost = milliseconds(repeats, base,
            [&](ConfigurationStore& leaf) { leaf.offerTransfer(Clock::now(), DocumentKind::Configuration, patch); });
        const double share = leafCost / 1000 * changeRate * 100;
        fmt::print("| {} | {} | {:.2f} | {:.2f} | {} | {:.2f} | {:.2f} | {:.2f} % | {} | {:.1f} |\n", hosts,
            text.size() / 1000, parse, view, patch.content.size(), readerCost, leafCost, share, verdict(share <= 1.4),
            memory);
        std::fflush(stdout);
    }
}

}

int main(int argc, char** argv)
{
    const std::size_t members = argc > 1 ? std::stoul(argv[1]) : designMembers;
    const std::string part = argc > 2 ? argv[2] : "";
    fmt::print("# Distribution of configuration, {} members, seed {}\n", members, seed);
    if (part.empty() || part == "documents") {
        reportDocuments();
    }
    if (part.empty() || part == "slopes") {
        reportSlopes(members);
    }
    if (part.empty() || part == "failures") {
        reportFailures(members);
    }
    return 0;
}
