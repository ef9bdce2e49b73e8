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

// The stand-ins and chicoryferry processes of one test. The destructor stops all of them.
//
// Changes to labels and states and added processes take effect with the next publish().
class Cluster {
public:
    // Starts all processes, publishes the first configuration and waits until every process is ready.
    // Throws std::runtime_error if a process is not ready after 20 s.
    explicit Cluster(ClusterPlan);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // The loopback address at which the client entry listens for this caller and service ("job" or "drawing").
    // Thread-safe; all other functions must be called from one thread.
    Endpoint entry(const std::string& caller, const std::string& service);

    ClusterHost& host(const std::string& name);
    ClusterBalancer& balancer(const std::string& name);
    std::vector<std::string> balancerNames() const;

    // Starts another host; it becomes part of the deployment with the next publish(). If the name was used before, the
    // new host gets the next incarnation and the earlier one is no longer published. addressesOf: a host whose agent
    // has exited; the new agent binds its addresses.
    ClusterHost& addHost(const HostPlan&, const ClusterHost* addressesOf = nullptr);

    // Starts another balancer; it is listed and receives packets from the fabric after the next publish().
    ClusterBalancer& addBalancer(const std::string& availabilityZone);

    // Publishes the configuration document and the instance list under new versions and sets the balancers that the
    // fabric sends packets to. Returns the version of the document.
    std::uint64_t publish();

    // Like publish(), without the configuration document. Returns the version of the instance list.
    std::uint64_t publishInstances();

    // Waits until every running process that is not paused has this configuration version or a newer one in force.
    // Returns the elapsed time; throws std::runtime_error at the timeout.
    std::chrono::milliseconds waitForVersion(
        std::uint64_t version, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    void waitForReady(const Endpoint& adminAddress, std::chrono::milliseconds timeout = std::chrono::seconds(20));

    // The /v1/status document of a process.
    static nlohmann::json status(const Endpoint& adminAddress);

    // The sum of a metric over all series whose name and labels contain labelText; 0 if there are none.
    static double metric(const Endpoint& adminAddress, const std::string& name, const std::string& labelText = "");

    // Suspends the process with SIGSTOP; waitForVersion() skips it until it is resumed.
    void pause(ChildProcess&);
    void resume(ChildProcess&);

    // Control interfaces of the stand-ins.
    nlohmann::json setFaults(const nlohmann::json&);
    nlohmann::json networkCounts() const;
    nlohmann::json controlPlatform(
        const std::string& method, const std::string& path, const nlohmann::json& body) const;
    void setBackend(const std::string& host, const nlohmann::json& settings);
    nlohmann::json proxyCounts() const;
    // Replaces the rules of the proxy stand-in (see ProxyRules).
    nlohmann::json setProxyRules(const nlohmann::json& rules) const;

    // The run records of all backend servers that this cluster started.
    nlohmann::json runs() const;

    const ClusterPlan& clusterPlan() const { return this->plan; }
    std::uint64_t version() const { return this->documentVersion; }

    // The configuration document that the next publish() sends.
    nlohmann::json document() const;

    // Adds a JSON merge patch that is applied to the document before it is published, for example to change bindings.
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
