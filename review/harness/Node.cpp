#include "Node.h"

#include "Tcp.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

Node::Node(NodePlan nodePlan, const std::string& nodeFolder, Record& caseRecord)
    : plan(std::move(nodePlan))
    , folder(nodeFolder)
    , record(caseRecord)
{
    const auto at = [this](std::uint16_t port) { return formatAddress({ this->plan.ip, port }); };
    std::ofstream settings(this->folder + "/" + this->plan.name + ".conf");
    settings << "node-name=" << this->plan.name << "\nrole=" << this->plan.role << "\nip=" << formatIp(this->plan.ip)
             << "\nzone=" << this->plan.zone << "\nregion=dar-coast\nlisten.datagram-addr=" << at(packetPort)
             << "\nlisten.ready-addr=" << at(readyPort) << "\ninternal-ports=7720,7735\nseeds=" << this->plan.seeds
             << "\nbootstrap=true\ndiscovery=platform\nheartbeat-ms=770\nhash=steady\ndeploy-mode=agent\n"
             << this->plan.bounds << "platform.address=" << formatAddress(this->plan.store)
             << "\nplatform.deploy-mode=read\nplatform.reads-per-s=2000\nplatform.history-s=20\n"
                "platform.value-bytes=1048576\n";
    if (!this->plan.service.empty()) {
        settings << "service=" << this->plan.service << "\napp=" << at(appPort)
                 << "\nlisten.outbound=" << at(outboundPort) << "\n";
    } else {
        settings << "listen.control=" << at(controlPort) << "\n";
    }
}

Node::~Node()
{
    if (this->process > 0) {
        this->end(SIGKILL);
    }
}

void Node::start()
{
    const std::string program = "target/chicoryferry-node";
    const std::string settings = "CHICORYFERRY_SETTINGS=" + this->folder + "/" + this->plan.name + ".conf";
    const std::string log = this->logPath();
    this->process = fork();
    if (this->process == 0) {
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        std::array<char*, 3> arguments { const_cast<char*>(program.c_str()), const_cast<char*>(this->plan.role.c_str()),
            nullptr };
        std::array<char*, 2> environment { const_cast<char*>(settings.c_str()), nullptr };
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    if (this->process < 0) {
        throw std::runtime_error("cannot start " + this->plan.name);
    }
    this->record.line("start " + this->plan.role + " " + this->plan.name + " in zone " + this->plan.zone);
}

void Node::signal(int number) const
{
    if (this->process > 0) {
        kill(this->process, number);
    }
}

void Node::end(int number)
{
    this->signal(number);
    int status = 0;
    waitpid(this->process, &status, 0);
    this->process = -1;
}

bool Node::isRunning()
{
    int status = 0;
    if (this->process > 0 && waitpid(this->process, &status, WNOHANG) == this->process) {
        this->record.line(this->plan.name + " has ended by itself, status " + std::to_string(status));
        this->process = -1;
    }
    return this->process > 0;
}

bool Node::isReady() const { return getStatus({ this->plan.ip, readyPort }, "/v1/ready") == 200; }

bool Node::waitReady(Milliseconds timeout) const
{
    const auto limit = Clock::now() + timeout;
    while (Clock::now() < limit) {
        if (this->isReady()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
}

}
