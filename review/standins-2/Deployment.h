#pragma once

#include "Host.h"
#include "Loop.h"
#include "Record.h"
#include "Store.h"

#include <filesystem>
#include <map>
#include <string>
#include <sys/types.h>

namespace review {

// A small deployment on loopback addresses: the project's programs as processes, each on a machine of its own, and the
// platform's store.
class Deployment {
public:
    static constexpr std::uint16_t packetPort = 8172;
    static constexpr std::uint16_t outboundPort = 8162;
    static constexpr std::uint16_t applicationPort = 8165;
    static constexpr std::uint16_t readyPort = 8167;

    // isGrown: with the bounds of the grown sites.
    Deployment(Loop&, Record&, bool isGrown = false);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // The address of a machine; numbers from 1 to 200.
    std::uint32_t machine(int number) const { return this->network + static_cast<std::uint32_t>(number); }
    Address gateway(int number) const { return { this->machine(number), 8169 }; }

    void addBalancer(int number, bool bootstrap = true);
    void addAgent(int number, const std::string& service, bool bootstrap = true);
    // SIGKILL, without a restart.
    void killProcess(int number);
    void sendSignal(int number, int signal);
    bool isRunning(int number);

    void writeConfiguration(std::uint64_t version, int timeoutMs);
    // startedAtMs: Unix time of the host's start.
    void writeHost(const Host&, int number, const std::string& service, const std::string& state,
        std::int64_t startedAtMs, int coldRemainingMs = 0);

    Store& platformStore() { return this->store; }
    // Whether GET /v1/ready is answered with 200.
    bool isReady(int number) const;

    static const Address route;

private:
    void startProcess(int number, const std::string& role, const std::string& settings);

    Loop& loop;
    Record& record;
    Store store;
    bool grown;
    std::uint32_t network;
    std::filesystem::path folder;
    std::map<int, pid_t> processes;
};

}
