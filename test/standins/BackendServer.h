#pragma once

#include "BackendConnection.h"
#include "BackendRun.h"
#include "BackendSettings.h"
#include "protocol/Endpoint.h"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace chicoryferry::standins {

// An HTTP/1.1 server with a fixed number of slots. Further requests wait in a FIFO queue. A request is answered
// with 503 and the outcome not-run when it arrives while the queue is full or the server drains, when it is shed, or
// when its deadline passes in the queue. A request whose connection closes is cancelled and frees its slot.
class BackendServer {
public:
    // Throws UserError when the address cannot be bound. The loop must outlive this object.
    BackendServer(StandinLoop&, const Endpoint& listen, std::string serviceName, std::string hostName, BackendSettings);
    ~BackendServer();
    BackendServer(const BackendServer&) = delete;
    BackendServer& operator=(const BackendServer&) = delete;

    Endpoint address() const;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct LoadSample {
        TimePoint time;
        double value { 0 };
    };

    void acceptWaiting();
    void requestArrived(BackendConnection&, const BackendRequest&);
    bool answerControlRequest(BackendConnection&, const BackendRequest&);
    void answerSettings(BackendConnection&, const std::string& body);
    void answerJson(BackendConnection&, unsigned status, const nlohmann::json&);
    void refuse(BackendConnection&, std::uint64_t run, const std::string& outcome);
    void startNext();
    void start(std::uint64_t run);
    void finishRun(std::uint64_t run, const std::string& outcome);
    void runTimeElapsed(std::uint64_t run);
    void deadlineReached(std::uint64_t run);
    void answered(BackendConnection&, bool complete);
    void connectionClosed(BackendConnection&);
    std::chrono::microseconds runTime(const std::string& target) const;
    BackendAnswer answerFor(const BackendRun&) const;
    void applySettings(const nlohmann::json&);
    void recordLoad();
    double reportedLoad() const;
    nlohmann::json runsAsJson() const;
    nlohmann::json stateAsJson() const;

    StandinLoop& loop;
    int listener;
    std::string service;
    std::string host;
    BackendSettings settings;
    std::mt19937_64 random { 1 };
    std::map<BackendConnection*, std::unique_ptr<BackendConnection>> connections;
    std::deque<BackendRun> runs; // by number, from 0
    std::deque<std::uint64_t> waiting;
    std::map<std::uint64_t, BackendConnection*> connectionOfRun;
    std::map<BackendConnection*, std::uint64_t> runOfConnection;
    std::size_t running { 0 };
    std::size_t mostRunning { 0 };
    std::deque<LoadSample> loadSamples;
};

}
