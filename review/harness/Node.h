#pragma once

#include "Record.h"
#include "Wire.h"

#include <string>
#include <sys/types.h>

namespace review {

struct NodePlan {
    std::string role; // balancer or agent
    std::string name;
    std::string zone;
    std::uint32_t ip { 0 };
    Address store; // as this machine reaches it
    std::string seeds;
    std::string service; // of the host on the machine, for an agent
    std::string bounds; // lines `bounds.NAME=VALUE`
};

// A process of chicoryferry-node with its settings file.
class Node {
public:
    static constexpr std::uint16_t packetPort = 8172;
    static constexpr std::uint16_t readyPort = 8167;
    static constexpr std::uint16_t appPort = 8165;
    static constexpr std::uint16_t outboundPort = 8162;
    static constexpr std::uint16_t controlPort = 8166;

    // folder: for the settings file and the log of the process.
    Node(NodePlan, const std::string& folder, Record&);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start();
    void signal(int number) const;
    // Sends a signal that ends the process and waits for its end.
    void end(int number);
    // Whether the process has not ended.
    bool isRunning();
    // Waits until GET /v1/ready answers 200. Returns false at the timeout.
    bool waitReady(Milliseconds timeout) const;
    bool isReady() const;

    const NodePlan& description() const { return this->plan; }
    Address packets() const { return { this->plan.ip, packetPort }; }
    std::string logPath() const { return this->folder + "/" + this->plan.name + ".log"; }

private:
    NodePlan plan;
    std::string folder;
    Record& record;
    pid_t process { -1 };
};

}
