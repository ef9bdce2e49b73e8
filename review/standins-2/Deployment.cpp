#include "Deployment.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string withGrownBounds(std::string settings)
{
    for (const auto& [from, to] : { std::pair("contact-ms=4000", "contact-ms=5000"),
             std::pair("ack-ms=5000", "ack-ms=8000"), std::pair("catch-up-s=4", "catch-up-s=6"),
             std::pair("drain-ms=3000", "drain-ms=5000"), std::pair("config-apply-ms=3000", "config-apply-ms=5000"),
             std::pair("skew-max-ms=12000", "skew-max-ms=15000"), std::pair("recovery-s=12", "recovery-s=15"),
             std::pair("reads-per-s=2000", "reads-per-s=6000") }) {
        settings.replace(settings.find(from), std::string(from).size(), to);
    }
    return settings;
}

// The words of `run` of a role in the deploy file.
std::vector<std::string> commandOf(const std::string& role)
{
    std::ifstream file("deploy/system.toml");
    bool inRole = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("[")) {
            inRole = line == "[roles." + role + "]";
        } else if (inRole && line.starts_with("run = \"")) {
            std::vector<std::string> words;
            std::string word;
            for (const char character : line.substr(7, line.rfind('"') - 7)) {
                if (character == ' ') {
                    words.push_back(word);
                    word.clear();
                } else {
                    word += character;
                }
            }
            words.push_back(word);
            return words;
        }
    }
    throw std::runtime_error("deploy/system.toml has no role " + role);
}

}

const Address Deployment::route { 0xC6120001U, 8443 }; // 198.18.0.1, only inside packets

Deployment::Deployment(Loop& eventLoop, Record& runRecord, bool isGrown)
    : loop(eventLoop)
    , record(runRecord)
    , store(eventLoop)
    , grown(isGrown)
    // A /24 within 127.128.0.0/10 of this process.
    , network(0x7F800000U + ((static_cast<std::uint32_t>(getpid()) & 0x3FFFU) << 8U))
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    this->folder = pattern;
}

Deployment::~Deployment()
{
    for (const auto& [number, process] : this->processes) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder);
    }
}

void Deployment::startProcess(int number, const std::string& role, const std::string& settings)
{
    const std::string path = this->folder / ("node-" + std::to_string(number) + ".conf");
    std::ofstream(path) << (this->grown ? withGrownBounds(settings) : settings);
    const std::string log = this->folder / ("node-" + std::to_string(number) + ".log");
    const auto words = commandOf(role);
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("CHICORYFERRY_SETTINGS", path.c_str(), 1);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    if (process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    this->processes[number] = process;
    this->record.line("platform starts the " + role + " on machine " + text(this->machine(number)));
}

namespace {

std::string settingsOf(const std::string& role, const std::string& machineClass, std::uint32_t ip,
    const Address& gateway, const std::string& seeds, bool bootstrap)
{
    const std::string address = text(ip);
    return "node-name=" + machineClass + "-a-" + std::to_string(ip & 255U) + "\nrole=" + role + "\nmachine-class="
        + machineClass + "\nip=" + address + "\nzone=a\nregion=coast\nzones.a=coast\nlisten.datagram-addr=" + address
        + ":" + std::to_string(Deployment::packetPort) + "\nlisten.ready-addr=" + address + ":"
        + std::to_string(Deployment::readyPort) + "\ninternal-ports=7720,7735\nseeds=" + seeds
        + "\nbootstrap=" + (bootstrap ? "true" : "false")
        + "\ncounts-in-tolerance=false\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\n"
          "limits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=advertise\n"
          "heartbeat-ms=770\ncontracts=base,drain,config,cost,recover,flows,platform\n"
          "fault-tolerance.machines=2\nfault-tolerance.zones=0\nfault-tolerance.regions=0\nbounds.seed-lag-s=3\n"
          "bounds.addr-reuse-s=2\nbounds.contact-ms=4000\nbounds.ack-ms=5000\nbounds.catch-up-s=4\n"
          "bounds.drain-ms=3000\nbounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\n"
          "bounds.rollback-slack-ms=250\nbounds.skew-max-ms=12000\nbounds.recovery-s=12\nbounds.reorder-ms=2000\n"
          "bounds.flow-ttl-s=60\nhash=steady\ndeploy-mode=agent\nplatform.address="
        + text(gateway)
        + "\nplatform.deploy-mode=read\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
          "platform.history-s=20\nplatform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n";
}

}

void Deployment::addBalancer(int number, bool bootstrap)
{
    this->store.openGateway(this->gateway(number));
    const std::string seeds = text(this->machine(1)) + ":8166," + text(this->machine(2)) + ":8166";
    this->startProcess(number, "balancer",
        settingsOf("balancer", "front", this->machine(number), this->gateway(number), seeds, bootstrap)
            + "serves=front,control\nlisten.control=" + text(this->machine(number)) + ":8166\n");
}

void Deployment::addAgent(int number, const std::string& service, bool bootstrap)
{
    const std::string address = text(this->machine(number));
    const std::string seeds = text(this->machine(1)) + ":8166," + text(this->machine(2)) + ":8166";
    this->startProcess(number, "agent",
        settingsOf("agent", "side", this->machine(number), this->gateway(number), seeds, bootstrap)
            + "serves=side\nlisten.outbound=" + address + ":" + std::to_string(outboundPort) + "\napp=" + address + ":"
            + std::to_string(applicationPort) + "\nservice=" + service + "\n");
}

void Deployment::sendSignal(int number, int signal) { kill(this->processes.at(number), signal); }

void Deployment::killProcess(int number)
{
    const pid_t process = this->processes.at(number);
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    this->processes.erase(number);
    this->record.line("SIGKILL for the process on machine " + text(this->machine(number)));
}

bool Deployment::isRunning(int number)
{
    const auto found = this->processes.find(number);
    if (found == this->processes.end()) {
        return false;
    }
    if (waitpid(found->second, nullptr, WNOHANG) == found->second) {
        this->processes.erase(found);
        return false;
    }
    return true;
}

void Deployment::writeConfiguration(std::uint64_t version, int timeoutMs)
{
    this->store.write("op/config",
        R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r-corrections","hostname":"198.18.0.1","prefix":"/8443/","route-type":"unsafe",)"
              R"("timeout-ms":)"
            + std::to_string(timeoutMs)
            + R"(,"target-latency-ms":120,"priority":1,"service":"job-desk","attempts":2}],)"
              R"("services":[{"name":"job-desk","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],)"
              R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
              R"("idle-timeout-ms":15000}})");
    this->record.line("store acknowledges configuration " + std::to_string(version));
}

void Deployment::writeHost(const Host& host, int number, const std::string& service, const std::string& state,
    std::int64_t startedAtMs, int coldRemainingMs)
{
    this->store.write("servers/" + host.name(),
        R"({"service":")" + service + R"(","address":")" + text(this->machine(number)) + ":"
            + std::to_string(applicationPort) + R"(","zone":"a","version":"v1","slots":2,"state":")" + state
            + R"(","cold-remaining-ms":)" + std::to_string(coldRemainingMs) + R"(,"seq":1,"born":)"
            + std::to_string(startedAtMs) + "}");
    this->record.line("store acknowledges that host " + host.name() + " is " + state);
}

bool Deployment::isReady(int number) const
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(readyPort);
    address.sin_addr.s_addr = htonl(this->machine(number));
    const timeval limit { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    bool ready = false;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, 64> answer {};
        const auto count = recv(descriptor, answer.data(), answer.size(), 0);
        ready = count > 0 && std::string(answer.data(), static_cast<std::size_t>(count)).starts_with("HTTP/1.1 200");
    }
    close(descriptor);
    return ready;
}

}
