// Another writer leaves one entry among those of the hosts: a copy of a host's entry that names an unknown service.
// Then a balancer is stopped and started, so that its open flows move to the other balancer of the zone.

#include "../harness/CaseRun.h"
#include "../harness/Host.h"
#include "../harness/Node.h"
#include "../harness/Store.h"
#include "../harness/Udp.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>
#include <random>

using namespace review;

namespace {

// From sites/msasani-cut.toml.
constexpr Milliseconds reorderTime { 2000 };
constexpr const char* bounds = "bounds.contact-ms=4000\nbounds.drain-ms=3000\nbounds.grace-s=6\n"
                               "bounds.config-apply-ms=3000\nbounds.reorder-ms=2000\nbounds.flow-ttl-s=60\n";

constexpr int flowCount = 16;
constexpr Milliseconds oddEntryAt { 1000 };
constexpr Milliseconds stopAt { 5000 };
constexpr Milliseconds restartDelay { 500 };
constexpr Milliseconds secondRequestsAt { 7500 };
constexpr Milliseconds timeBudget { 3000 };
constexpr Milliseconds probeInterval { 500 };
constexpr Milliseconds delayToConsumers { 1 };

// The router of a zone with two balancers. Flows move when a balancer leaves the rotation or comes back.
class Router {
public:
    Router(const Node& preferredNode, const Node& otherNode)
        : preferred(preferredNode)
        , other(otherNode)
        , thread([this] { this->probe(); })
    {
    }

    ~Router()
    {
        this->stopping = true;
        this->thread.join();
    }

    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    Address select() const { return this->misses < 2 ? this->preferred.packets() : this->other.packets(); }

private:
    void probe()
    {
        while (!this->stopping) {
            this->misses = this->preferred.isReady() ? 0 : this->misses + 1;
            std::this_thread::sleep_for(probeInterval);
        }
    }

    const Node& preferred;
    const Node& other;
    std::atomic<int> misses { 0 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

// A flow that a consumer keeps open for two requests, with a pause between them.
struct KeptFlow {
    Address address;
    std::uint32_t nextSequence { 0 }; // of the next byte that the consumer sends
    std::uint32_t expected { 0 }; // the next sequence number of the host
    bool opened { false };
    std::string request; // in progress
    std::string payload;
    bool acknowledged { false };
    int transmissions { 0 };
    Clock::time_point sentAt;
    Clock::time_point nextTransmission;
    int answers { 0 };
    bool reset { false };
    std::string host; // that answered first
};

class Consumer {
public:
    Consumer(const Address& consumerAddress, const Address& serviceRoute, Record& caseRecord, const Router& zoneRouter)
        : record(caseRecord)
        , router(zoneRouter)
        , route(serviceRoute)
        , socket(consumerAddress)
    {
        for (int number = 0; number < flowCount; ++number) {
            KeptFlow flow;
            flow.address = { consumerAddress.ip, static_cast<std::uint16_t>(40001 + number) };
            flow.nextSequence = static_cast<std::uint32_t>(this->random());
            this->flows[flow.address.port] = flow;
        }
    }

    // Sends a request on each flow; opens the flows first, if need be.
    void request(const std::string& prefix)
    {
        const auto now = Clock::now();
        for (auto& [port, flow] : this->flows) {
            flow.request = prefix + "-" + std::to_string(port);
            flow.payload = "POST /work HTTP/1.1\r\nHost: " + formatAddress(this->route)
                + "\r\nX-Chicoryferry-Request-Id: " + flow.request + "\r\nContent-Length: 0\r\n\r\n";
            flow.acknowledged = false;
            flow.transmissions = 0;
            flow.sentAt = now;
            flow.nextTransmission = now;
        }
    }

    void runUntil(Clock::time_point end)
    {
        while (Clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::microseconds(200));
            const auto now = Clock::now();
            Address from;
            while (auto bytes = this->socket.receive(Milliseconds(0), from)) {
                this->incoming.emplace_back(now + delayToConsumers, std::move(*bytes));
            }
            for (; !this->incoming.empty() && this->incoming.front().first <= now; this->incoming.pop_front()) {
                if (const auto packet = decode(this->incoming.front().second)) {
                    this->handle(*packet, now);
                }
            }
            for (auto& [port, flow] : this->flows) {
                this->transmit(flow, now);
            }
            for (; !this->outgoing.empty() && this->outgoing.front().first <= now; this->outgoing.pop_front()) {
                this->socket.send(this->router.select(), this->outgoing.front().second);
            }
        }
    }

    const std::map<std::uint16_t, KeptFlow>& all() const { return this->flows; }

private:
    void emit(const KeptFlow& flow, std::uint32_t sequence, std::uint32_t acknowledgement, std::uint8_t flags,
        const std::string& payload)
    {
        Packet packet;
        packet.source = flow.address;
        packet.destination = this->route;
        packet.sequence = sequence;
        packet.acknowledgement = acknowledgement;
        packet.flags = flags;
        packet.payload = payload;
        this->outgoing.emplace_back(Clock::now() + delayToConsumers, encode(packet));
    }

    void transmit(KeptFlow& flow, Clock::time_point now)
    {
        if (flow.request.empty() || flow.reset || flow.acknowledged || now < flow.nextTransmission
            || now - flow.sentAt >= timeBudget) {
            return;
        }
        if (flow.opened) {
            this->emit(flow, flow.nextSequence, flow.expected, Packet::ack, flow.payload);
            flow.nextTransmission = now + Milliseconds(200) * (1 << std::min(flow.transmissions, 3));
        } else {
            this->emit(
                flow, flow.nextSequence, static_cast<std::uint32_t>(flow.transmissions), Packet::syn, std::string());
            flow.nextTransmission = flow.sentAt + Milliseconds(flow.transmissions == 0 ? 200 : 600);
            flow.acknowledged = flow.transmissions == 2;
        }
        ++flow.transmissions;
    }

    void handle(const Packet& packet, Clock::time_point now)
    {
        const auto found = this->flows.find(packet.destination.port);
        if (found == this->flows.end() || !packet.sumValid) {
            return;
        }
        KeptFlow& flow = found->second;
        if (packet.has(Packet::rst)) {
            this->record.line("flow " + formatAddress(flow.address) + " is reset"
                + (packet.systemReset ? " by the system" : " by a host"));
            flow.reset = true;
            return;
        }
        if (packet.has(Packet::syn)) {
            if (!flow.opened) {
                flow.opened = true;
                flow.expected = packet.sequence + 1;
                ++flow.nextSequence;
                flow.acknowledged = false;
                flow.transmissions = 0;
                flow.nextTransmission = now;
            }
            return;
        }
        if (packet.acknowledgement == flow.nextSequence + flow.payload.size()) {
            flow.acknowledged = true;
        }
        if (packet.payload.empty() || packet.sequence != flow.expected) {
            return;
        }
        flow.expected += static_cast<std::uint32_t>(packet.payload.size());
        flow.nextSequence += static_cast<std::uint32_t>(flow.payload.size());
        flow.payload.clear();
        this->emit(flow, flow.nextSequence, flow.expected, Packet::ack, "");
        const std::string body = packet.payload.substr(packet.payload.find("\r\n\r\n") + 4);
        this->record.line("flow " + formatAddress(flow.address) + ": request " + flow.request + " is answered after "
            + std::to_string(std::chrono::duration_cast<Milliseconds>(now - flow.sentAt).count()) + " ms: " + body);
        flow.host = body.find("i-copied") != std::string::npos ? "i-copied" : "i-other";
        flow.request.clear();
        ++flow.answers;
    }

    Record& record;
    const Router& router;
    Address route;
    Udp socket;
    std::mt19937 random { 20261205 };
    std::map<std::uint16_t, KeptFlow> flows;
    std::deque<std::pair<Clock::time_point, Bytes>> incoming;
    std::deque<std::pair<Clock::time_point, Bytes>> outgoing;
};

// The most packets of the flow that other hosts took within reorderTime, while its own host took none.
int mostAstray(const std::vector<HostEvent>& events, const KeptFlow& flow, Clock::time_point from)
{
    std::vector<Clock::time_point> astray;
    int most = 0;
    for (const HostEvent& event : events) {
        if (event.kind != HostEvent::Kind::Packet || event.caller != flow.address || event.at < from) {
            continue;
        }
        if (event.host == flow.host) {
            astray.clear();
            continue;
        }
        astray.push_back(event.at);
        const auto count = std::count_if(
            astray.begin(), astray.end(), [&](Clock::time_point at) { return event.at - at <= reorderTime; });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

int run(const std::string& recordPath)
{
    CaseRun run(recordPath);
    Record& record = run.record;
    const bool trouble = CaseRun::hasTrouble();
    std::mutex mutex;
    std::vector<HostEvent> events;
    const Host::Observer observer = [&](const HostEvent& event) {
        const std::lock_guard lock(mutex);
        events.push_back(event);
    };

    const Address storeAddress { run.ip(4), 8169 };
    Store store(storeAddress, Milliseconds(4), std::chrono::seconds(20));
    const Address route { run.ip(200), 443 };
    store.put("op/config",
        R"({"version":7,"routes":[{"name":"r-1","hostname":")" + formatIp(route.ip)
            + R"(","prefix":"/443/","route-type":"unsafe","timeout-ms":3000,"target-latency-ms":120,"priority":1,)"
              R"("service":"job-desk","attempts":2}],"services":[{"name":"job-desk","health-path":"/health",)"
              R"("max-conns":2000,"protocol":"h1","tls":false}],"limits":{"idle-timeout-ms":15000}})");
    const std::string seeds
        = formatAddress({ run.ip(11), Node::controlPort }) + "," + formatAddress({ run.ip(12), Node::controlPort });
    const auto plan = [&](const std::string& role, const std::string& name, std::uint32_t ip) {
        return NodePlan { role, name, "a", run.ip(ip), storeAddress, seeds, role == "agent" ? "job-desk" : "", bounds };
    };
    const auto host = [&](const std::string& id, std::uint32_t ip) {
        HostPlan description;
        description.id = id;
        description.service = "job-desk";
        description.zone = "a";
        description.app = { run.ip(ip), Node::appPort };
        description.outbound = { run.ip(ip), Node::outboundPort };
        description.slots = 8;
        return description;
    };

    Node first(plan("balancer", "front-1", 11), run.folder, record);
    Node second(plan("balancer", "front-2", 12), run.folder, record);
    Node sideCopied(plan("agent", "side-copied", 21), run.folder, record);
    Node sideOther(plan("agent", "side-other", 22), run.folder, record);
    sideCopied.start();
    sideOther.start();
    Host copied(host("i-copied", 21), store, record, observer);
    Host other(host("i-other", 22), store, record, observer);
    first.start();
    second.start();
    if (!first.waitReady(Milliseconds(5000)) || !second.waitReady(Milliseconds(5000))) {
        record.line("the balancers did not become ready");
        return notRun;
    }
    CaseRun::sleepUntil(Clock::now() + Milliseconds(3500));
    const Router router(first, second);
    Consumer consumer({ run.ip(31), Node::packetPort }, route, record, router);

    const auto start = Clock::now();
    std::thread operations([&] {
        CaseRun::sleepUntil(start + oddEntryAt);
        if (trouble) {
            const auto born
                = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
            const std::string text = R"({"service":"press-room","address":")" + formatAddress(copied.description().app)
                + R"(","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"born":)"
                + std::to_string(born.count()) + R"(,"seq":1})";
            const std::uint64_t revision = store.put("servers/i-odd", text);
            record.line("another writer leaves servers/i-odd at revision " + std::to_string(revision) + ": " + text);
        }
        CaseRun::sleepUntil(start + stopAt);
        record.line("front-1 gets SIGTERM");
        first.end(SIGTERM);
        record.line("front-1 has ended");
        CaseRun::sleepUntil(Clock::now() + restartDelay);
        first.start();
    });
    consumer.request("first");
    consumer.runUntil(start + secondRequestsAt);
    record.line("the second requests are sent");
    consumer.request("second");
    consumer.runUntil(start + secondRequestsAt + timeBudget + Milliseconds(1000));
    operations.join();
    const bool alive = first.isRunning() && second.isRunning() && sideCopied.isRunning() && sideOther.isRunning();
    run.quoteLog(second.logPath(), { "host_changed", "wrong_service", "flow_reset" });

    // FLOW (b).
    int astrayFlows = 0;
    int lost = 0;
    int served = 0;
    const std::lock_guard lock(mutex);
    for (const auto& [port, flow] : consumer.all()) {
        if (flow.answers == 0) {
            continue;
        }
        ++served;
        lost += flow.answers == 1 ? 1 : 0;
        const int astray = mostAstray(events, flow, start + secondRequestsAt);
        if (astray >= 3 && flow.answers == 1) {
            ++astrayFlows;
            record.line("FLOW: " + std::to_string(astray) + " packets of the flow " + formatAddress(flow.address)
                + " of " + flow.host + " reached other hosts within 2 s and none its own");
        }
        if (flow.reset) {
            ++astrayFlows;
            record.line("FLOW: the flow " + formatAddress(flow.address) + " of " + flow.host + " was reset");
        }
    }
    record.line("open flows " + std::to_string(served) + ", second requests without an answer " + std::to_string(lost)
        + ", flows astray or reset " + std::to_string(astrayFlows));
    if (!alive || served == 0) {
        record.line("the case could not run");
        return notRun;
    }
    return astrayFlows > 0 ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc > 1 ? argv[1] : "record.txt");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "case 1: %s\n", error.what());
        return notRun;
    }
}
