#include "Cluster.h"

#include "HttpConnection.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace chicoryferry::integration {

namespace {

constexpr std::chrono::milliseconds pollInterval { 20 };

// CHICORYFERRY_PROGRAM names another build of the program, for example one with a mechanism removed to check that the
// tests notice.
std::string programPath()
{
    const char* path = std::getenv("CHICORYFERRY_PROGRAM");
    return path == nullptr ? CHICORYFERRY_BINARY : path;
}

std::string joinEndpoints(const std::vector<Endpoint>& endpoints)
{
    std::string text;
    for (const Endpoint& endpoint : endpoints) {
        text += (text.empty() ? "" : ",") + formatEndpoint(endpoint);
    }
    return text;
}

const std::map<std::string, std::string> serviceAddresses { { "job", "10.1.0.1" }, { "drawing", "10.1.0.2" } };

nlohmann::json route(const std::string& method, const std::string& path, bool shareable, bool repeatable,
    const std::string& deadline, const std::string& sizeClass)
{
    nlohmann::json description { { "method", method }, { "path", path }, { "shareable", shareable },
        { "repeatable", repeatable }, { "deadline", deadline } };
    if (!sizeClass.empty()) {
        description["sizeClass"] = sizeClass;
    }
    return description;
}

nlohmann::json serviceDescription(const std::string& name, const nlohmann::json& routes)
{
    return { { "name", name }, { "address", serviceAddresses.at(name) }, { "port", 80 }, { "protocol", "http" },
        { "routes", routes } };
}

nlohmann::json baseDocument(const std::string& retention)
{
    const nlohmann::json jobRoutes { route("GET", "/layout/", false, true, "10s", "short"),
        route("GET", "/shared/", true, true, "10s", "short"), route("POST", "/corrections", false, false, "20s", "") };
    const nlohmann::json drawingRoutes { route("GET", "/drawings/", false, true, "10m", "long"),
        route("GET", "/thumbnails/", false, true, "10s", "short") };
    return { { "retention", retention },
        { "services", { serviceDescription("job", jobRoutes), serviceDescription("drawing", drawingRoutes) } },
        { "callerGroups",
            { { { "name", "benches" }, { "prefixes", { "10.9.1.0/24" } } },
                { { "name", "printers" }, { "prefixes", { "10.9.2.0/24" } } } } },
        { "bindings",
            { { { "service", "job" }, { "callers", "benches" }, { "selector", "service=job,!quarantined" } },
                { { "service", "drawing" }, { "callers", "printers" }, { "selector", "service=drawing,!quarantined" } },
                { { "service", "drawing" }, { "callers", "benches" },
                    { "selector", "service=drawing,!quarantined" } } } } };
}

Endpoint addressIn(const nlohmann::json& event, const std::string& field)
{
    return parseEndpoint(event.at(field).get<std::string>());
}

nlohmann::json controlRequest(
    const Endpoint& endpoint, const std::string& method, const std::string& path, const nlohmann::json& body)
{
    const HttpAnswer answer = requestOnce(endpoint, method, path,
        body.is_null()         ? ""
            : body.is_string() ? body.get<std::string>()
                               : body.dump());
    if (answer.status < 200 || answer.status > 299) {
        throw std::runtime_error(fmt::format("{} {} answered {}: {}", method, path, answer.status, answer.body));
    }
    return answer.body.empty() ? nlohmann::json() : nlohmann::json::parse(answer.body, nullptr, false);
}

}

Cluster::Cluster(ClusterPlan planToUse)
    : plan(std::move(planToUse))
    , documentPatch(nlohmann::json::object())
{
    this->startStandins();
    for (const HostPlan& host : this->plan.hosts) {
        this->addHost(host);
    }
    for (const std::string& zone : this->plan.balancerZones) {
        this->addBalancer(zone);
    }
    this->publish();
    for (const ClusterHost& host : this->hosts) {
        this->waitForReady(host.adminAddress);
    }
    for (const ClusterBalancer& balancer : this->balancers) {
        this->waitForReady(balancer.adminAddress);
    }
}

Cluster::~Cluster() = default;

void Cluster::startStandins()
{
    this->platform = std::make_unique<ChildProcess>(
        "platform", std::vector<std::string> { STANDINS_BINARY, "platform", "--listen", "127.0.0.1:0" });
    this->network = std::make_unique<ChildProcess>(
        "network", std::vector<std::string> { STANDINS_BINARY, "network", "--listen", "127.0.0.1:0" });
    this->platformAddress = addressIn(this->platform->waitForEvent("listening"), "address");
    const nlohmann::json listening = this->network->waitForEvent("listening");
    this->networkControl = addressIn(listening, "address");
    this->fabricAddress = addressIn(listening, "data");
    controlRequest(this->networkControl, "PUT", "/control/faults", { { "seed", this->plan.seed } });
    if (this->plan.proxied) {
        this->proxy = std::make_unique<ChildProcess>(
            "proxy", std::vector<std::string> { STANDINS_BINARY, "proxy", "--listen", "127.0.0.1:0" });
        this->proxyControl = addressIn(this->proxy->waitForEvent("listening"), "address");
    }
}

void Cluster::startBackend(ClusterHost& host)
{
    host.backend = std::make_unique<ChildProcess>("backend-" + host.plan.name,
        std::vector<std::string> { STANDINS_BINARY, "backend", "--listen", "127.0.0.1:0", "--service",
            host.plan.service, "--host", host.plan.name, "--slots", std::to_string(host.plan.slots) });
    host.backendAddress = addressIn(host.backend->waitForEvent("listening"), "address");
}

void Cluster::startAgent(ClusterHost& host, const std::string& dataAddress, const std::string& peerAddress)
{
    host.agent = std::make_unique<ChildProcess>(fmt::format("agent-{}-{}", host.plan.name, host.incarnation),
        std::vector<std::string> { programPath(), "agent", "--instance", host.plan.name, "--availability-zone",
            host.plan.availabilityZone, "--incarnation", std::to_string(host.incarnation), "--data-address",
            dataAddress, "--peer-address", peerAddress, "--platform", "http://" + formatEndpoint(this->platformAddress),
            "--fabric-address", formatEndpoint(this->fabricAddress), "--backend-server",
            formatEndpoint(host.backendAddress), "--drain-limit", fmt::format("{}s", this->plan.drainLimit.count()),
            "--backend-silence", this->plan.backendSilence });
    const nlohmann::json listening = host.agent->waitForEvent("listening");
    host.dataAddress = addressIn(listening, "data");
    host.peerAddress = addressIn(listening, "peer");
    host.adminAddress = addressIn(listening, "admin");
    if (this->plan.proxied) {
        const nlohmann::json relay = controlRequest(this->proxyControl, "PUT", "/control/relay",
            { { "name", host.plan.name }, { "protocol", "messages" }, { "target", formatEndpoint(host.peerAddress) } });
        host.peerAddress = addressIn(relay, "address");
    }
}

ClusterHost& Cluster::addHost(const HostPlan& hostPlan, const ClusterHost* addressesOf)
{
    std::uint64_t incarnation = 1;
    for (ClusterHost& earlier : this->hosts) {
        if (earlier.plan.name == hostPlan.name) {
            incarnation = earlier.incarnation + 1;
            earlier.inDocument = false;
            earlier.listed = false;
        }
    }
    ClusterHost& host = this->hosts.emplace_back();
    host.plan = hostPlan;
    host.incarnation = incarnation;
    host.labels = { { "service", hostPlan.service } };
    this->startBackend(host);
    const std::string anyPort = "127.0.0.1:0";
    this->startAgent(host, addressesOf == nullptr ? anyPort : formatEndpoint(addressesOf->dataAddress),
        addressesOf == nullptr ? anyPort : formatEndpoint(addressesOf->peerAddress));
    return host;
}

ClusterBalancer& Cluster::addBalancer(const std::string& availabilityZone)
{
    std::vector<Endpoint> seedPeers;
    for (const ClusterBalancer& earlier : this->balancers) {
        seedPeers.push_back(earlier.peerAddress);
    }
    ClusterBalancer& balancer = this->balancers.emplace_back();
    balancer.name = fmt::format("balancer-{}", this->balancers.size());
    balancer.availabilityZone = availabilityZone;
    balancer.process = std::make_unique<ChildProcess>(balancer.name,
        std::vector<std::string> { programPath(), "balancer", "--instance", balancer.name, "--availability-zone",
            availabilityZone, "--incarnation", "1", "--platform", "http://" + formatEndpoint(this->platformAddress),
            "--peers", joinEndpoints(seedPeers) });
    const nlohmann::json listening = balancer.process->waitForEvent("listening");
    balancer.dataAddress = addressIn(listening, "data");
    balancer.peerAddress = addressIn(listening, "peer");
    balancer.adminAddress = addressIn(listening, "admin");
    return balancer;
}

Endpoint Cluster::entry(const std::string& caller, const std::string& service)
{
    const std::lock_guard<std::mutex> lock(this->entriesMutex);
    const std::pair<std::string, std::string> key { caller, service };
    if (!this->entries.contains(key)) {
        this->entries[key] = Endpoint {};
        nlohmann::json wanted = nlohmann::json::array();
        for (const auto& [pair, endpoint] : this->entries) {
            wanted.push_back({ { "caller", pair.first }, { "service", serviceAddresses.at(pair.second) + ":80" },
                { "name", pair.second } });
        }
        const nlohmann::json answer
            = controlRequest(this->networkControl, "PUT", "/control/entries", { { "entries", wanted } });
        for (const nlohmann::json& item : answer.at("entries")) {
            this->entries[{ item.at("caller"), item.at("name") }] = addressIn(item, "address");
        }
    }
    return this->entries.at(key);
}

ClusterHost& Cluster::host(const std::string& name)
{
    // The latest incarnation of the host with this name.
    const auto found = std::find_if(this->hosts.rbegin(), this->hosts.rend(),
        [&](const ClusterHost& candidate) { return candidate.plan.name == name; });
    if (found == this->hosts.rend()) {
        throw std::runtime_error("no host named " + name);
    }
    return *found;
}

ClusterBalancer& Cluster::balancer(const std::string& name)
{
    const auto found = std::find_if(this->balancers.begin(), this->balancers.end(),
        [&](const ClusterBalancer& candidate) { return candidate.name == name; });
    if (found == this->balancers.end()) {
        throw std::runtime_error("no balancer named " + name);
    }
    return *found;
}

std::vector<std::string> Cluster::balancerNames() const
{
    std::vector<std::string> names;
    for (const ClusterBalancer& balancer : this->balancers) {
        if (balancer.listed) {
            names.push_back(balancer.name);
        }
    }
    return names;
}

nlohmann::json Cluster::document() const
{
    nlohmann::json content = baseDocument(this->plan.retention);
    content["hosts"] = nlohmann::json::array();
    for (const ClusterHost& host : this->hosts) {
        if (host.inDocument) {
            content["hosts"].push_back({ { "name", host.plan.name }, { "incarnation", host.incarnation },
                { "availabilityZone", host.plan.availabilityZone }, { "dataAddress", formatEndpoint(host.dataAddress) },
                { "peerAddress", formatEndpoint(host.peerAddress) }, { "slots", host.plan.slots },
                { "connections", host.plan.connections }, { "state", host.documentState }, { "labels", host.labels } });
        }
    }
    content.merge_patch(this->documentPatch);
    return content;
}

nlohmann::json Cluster::instanceList() const
{
    nlohmann::json list = nlohmann::json::array();
    const auto append = [&](const std::string& name, const std::string& role, const auto& member,
                            const std::string& availabilityZone) {
        list.push_back({ { "name", name }, { "role", role }, { "availabilityZone", availabilityZone },
            { "incarnation", member.incarnation }, { "dataAddress", formatEndpoint(member.dataAddress) },
            { "peerAddress", formatEndpoint(member.peerAddress) },
            { "adminAddress", formatEndpoint(member.adminAddress) }, { "state", member.instanceState } });
    };
    for (const ClusterHost& host : this->hosts) {
        if (host.listed) {
            append(host.plan.name, "agent", host, host.plan.availabilityZone);
        }
    }
    for (const ClusterBalancer& balancer : this->balancers) {
        if (balancer.listed) {
            append(balancer.name, "balancer", balancer, balancer.availabilityZone);
        }
    }
    return list;
}

std::uint64_t Cluster::publish()
{
    this->publishInstances();
    nlohmann::json content = this->document();
    content["version"] = ++this->documentVersion;
    controlRequest(this->platformAddress, "PUT", "/control/configuration", content);
    return this->documentVersion;
}

std::uint64_t Cluster::publishInstances()
{
    const nlohmann::json list { { "version", ++this->instancesVersion }, { "instances", this->instanceList() } };
    controlRequest(this->platformAddress, "PUT", "/control/instances", list);
    nlohmann::json addresses = nlohmann::json::array();
    for (const ClusterBalancer& balancer : this->balancers) {
        if (balancer.receivesPackets) {
            addresses.push_back(formatEndpoint(balancer.dataAddress));
        }
    }
    controlRequest(this->networkControl, "PUT", "/control/balancers", { { "balancers", addresses } });
    return this->instancesVersion;
}

bool Cluster::isPaused(const ChildProcess& process) const
{
    return std::find(this->paused.begin(), this->paused.end(), &process) != this->paused.end();
}

std::chrono::milliseconds Cluster::waitForVersion(std::uint64_t version, std::chrono::milliseconds timeout)
{
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::pair<ChildProcess*, Endpoint>> waiting;
    for (const ClusterHost& host : this->hosts) {
        waiting.emplace_back(host.agent.get(), host.adminAddress);
    }
    for (const ClusterBalancer& balancer : this->balancers) {
        waiting.emplace_back(balancer.process.get(), balancer.adminAddress);
    }
    std::erase_if(waiting, [this](const auto& item) { return !item.first->running() || this->isPaused(*item.first); });
    while (!waiting.empty()) {
        std::erase_if(waiting, [&](const auto& item) {
            return !item.first->running()
                || status(item.second).value("configurationVersion", std::uint64_t { 0 }) >= version;
        });
        const auto waited = std::chrono::steady_clock::now() - start;
        if (waited > timeout && !waiting.empty()) {
            throw std::runtime_error(fmt::format("configuration version {} not in force at {} and {} other processes",
                version, waiting[0].first->name(), waiting.size() - 1));
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

void Cluster::waitForReady(const Endpoint& adminAddress, std::chrono::milliseconds timeout)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    while (requestOnce(adminAddress, "GET", "/readyz").status != 200) {
        if (std::chrono::steady_clock::now() > limit) {
            throw std::runtime_error(formatEndpoint(adminAddress) + " is not ready: " + status(adminAddress).dump());
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

nlohmann::json Cluster::status(const Endpoint& adminAddress)
{
    return nlohmann::json::parse(requestOnce(adminAddress, "GET", "/v1/status").body);
}

double Cluster::metric(const Endpoint& adminAddress, const std::string& name, const std::string& labelText)
{
    std::istringstream lines(requestOnce(adminAddress, "GET", "/metrics").body);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::size_t space = line.rfind(' ');
        const std::string series = line.substr(0, space);
        if (series.substr(0, series.find('{')) == name && series.find(labelText) != std::string::npos) {
            sum += std::stod(line.substr(space + 1));
        }
    }
    return sum;
}

void Cluster::pause(ChildProcess& process)
{
    process.send(SIGSTOP);
    this->paused.push_back(&process);
}

void Cluster::resume(ChildProcess& process)
{
    process.send(SIGCONT);
    std::erase(this->paused, &process);
}

nlohmann::json Cluster::setFaults(const nlohmann::json& faults)
{
    return controlRequest(this->networkControl, "PUT", "/control/faults", faults);
}

nlohmann::json Cluster::networkCounts() const
{
    return controlRequest(this->networkControl, "GET", "/control/counts", nullptr);
}

nlohmann::json Cluster::controlPlatform(
    const std::string& method, const std::string& path, const nlohmann::json& body) const
{
    return controlRequest(this->platformAddress, method, path, body);
}

void Cluster::setBackend(const std::string& host, const nlohmann::json& settings)
{
    controlRequest(this->host(host).backendAddress, "PUT", "/control/settings", settings);
}

nlohmann::json Cluster::setProxyRules(const nlohmann::json& rules) const
{
    return controlRequest(
        this->proxyControl, "PUT", "/control/rules", { { "seed", this->plan.seed }, { "rules", rules } });
}

nlohmann::json Cluster::proxyCounts() const
{
    return controlRequest(this->proxyControl, "GET", "/control/counts", nullptr);
}

nlohmann::json Cluster::runs() const
{
    nlohmann::json all = nlohmann::json::array();
    for (const ClusterHost& host : this->hosts) {
        const nlohmann::json answer = controlRequest(host.backendAddress, "GET", "/control/runs", nullptr);
        all.insert(all.end(), answer.at("runs").begin(), answer.at("runs").end());
    }
    return all;
}

}
