#pragma once

#include "ClusterBalancer.h"
#include "ClusterHost.h"
#include "ClusterPlan.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chicoryferry::integration {

// Stand-ins and real processes of one test. Everything is stopped when this object is deleted.
//
// Changes (labels, states, additions) take effect with the next publish().
class Cluster {
public:
    // Starts everything, publishes the first version and waits until every process is ready.
    // Throws std::runtime_error when that takes longer than 20 s.
    explicit Cluster(ClusterPlan);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // The loopback address at which the client entry listens for this caller and service ("job" or "drawing").
    // Any thread; the other functions are for one thread.
    Endpoint entry(const std::string& caller, const std::string& service);

    ClusterHost& host(const std::string& name);
    ClusterBalancer& balancer(const std::string& name);
    std::vector<std::string> balancerNames() const;

    // Starts a further host; it takes part after publish(). A name that was used before gets a new incarnation, and the
    // earlier host is no longer published. addressesOf: a host whose agent has ended and whose addresses are used
    // again.
    ClusterHost& addHost(const HostPlan&, const ClusterHost* addressesOf = nullptr);

    // Starts a further balancer; it is listed and sprayed to after publish().
    ClusterBalancer& addBalancer(const std::string& availabilityZone);

    // Publishes the document and the instance list with new versions and tells the fabric the balancers.
    // Returns the version of the document.
    std::uint64_t publish();

    // Publishes only the instance list.
    std::uint64_t publishInstances();

    // Waits until every running process that is not paused holds the version. Returns the time that took; throws
    // std::runtime_error at the timeout.
    std::chrono::milliseconds waitForVersion(
        std::uint64_t version, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    void waitForReady(const Endpoint& adminAddress, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    // The /v1/status of a process.
    static nlohmann::json status(const Endpoint& adminAddress);

    // The sum of a metric over its labels that contain the text; 0 when it is absent.
    static double metric(const Endpoint& adminAddress, const std::string& name, const std::string& labelText = "");

    // Stops the process for a while; waitForVersion() leaves it out until it is resumed.
    void pause(ChildProcess&);
    void resume(ChildProcess&);

    // Control of the stand-ins.
    nlohmann::json setFaults(const nlohmann::json&);
    nlohmann::json networkCounts() const;
    nlohmann::json controlPlatform(
        const std::string& method, const std::string& path, const nlohmann::json& body) const;
    void setBackend(const std::string& host, const nlohmann::json& settings);
    // Replaces the rules of the proxy stand-in (see ProxyRules).
    nlohmann::json proxyCounts() const;
    nlohmann::json setProxyRules(const nlohmann::json& rules) const;

    // The records of every backend server that was ever started.
    nlohmann::json runs() const;

    const ClusterPlan& clusterPlan() const { return this->plan; }
    std::uint64_t version() const { return this->documentVersion; }

    // The document as it is published next.
    nlohmann::json document() const;

    // Merged into the document as a JSON merge patch before it is published, for example to change bindings.
    void patchDocument(const nlohmann::json& patch) { this->documentPatch.merge_patch(patch); }

private:
    void startStandins();
    void startBackend(ClusterHost&);
    void startAgent(ClusterHost&, const std::string& dataAddress, const std::string& peerAddress);
    nlohmann::json instanceList() const;
    bool isPaused(const ChildProcess&) const;

    ClusterPlan plan;
    std::uint64_t documentVersion { 0 };
    std::uint64_t instancesVersion { 0 };
    nlohmann::json documentPatch;
    std::unique_ptr<ChildProcess> platform;
    Endpoint platformAddress;
    std::unique_ptr<ChildProcess> network;
    Endpoint networkControl;
    Endpoint fabricAddress;
    std::unique_ptr<ChildProcess> proxy;
    Endpoint proxyControl;
    std::deque<ClusterHost> hosts; // references stay valid when hosts are added
    std::deque<ClusterBalancer> balancers;
    std::mutex entriesMutex;
    std::map<std::pair<std::string, std::string>, Endpoint> entries;
    std::vector<const ChildProcess*> paused;
};

}
