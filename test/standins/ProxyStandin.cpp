#include "ProxyStandin.h"

#include "ControlServer.h"
#include "DatagramRelay.h"
#include "ProxyRules.h"
#include "StandinLoop.h"
#include "StandinOptions.h"
#include "StreamRelay.h"
#include "support/UserError.h"

#include <memory>

namespace chicoryferry::standins {

namespace {

class Proxy {
public:
    explicit Proxy(StandinLoop& loopToUse)
        : loop(loopToUse)
    {
    }

    ControlServer::Handlers controlHandlers()
    {
        return {
            { "PUT /control/relay", [this](const nlohmann::json& body) { return this->openRelay(body); } },
            { "PUT /control/rules",
                [this](const nlohmann::json& body) {
                    this->rules.configure(body);
                    return nlohmann::json::object();
                } },
            { "GET /control/counts", [this](const nlohmann::json&) { return this->rules.counts(); } },
        };
    }

private:
    nlohmann::json openRelay(const nlohmann::json& body)
    {
        const std::string name = body.at("name");
        const std::string protocol = body.at("protocol");
        const Endpoint target = parseEndpoint(body.at("target").get<std::string>());
        Endpoint address;
        if (protocol == "udp") {
            auto relay = std::make_unique<DatagramRelay>(this->loop, this->rules, name, target);
            address = relay->address();
            this->datagramRelays.push_back(std::move(relay));
        } else if (protocol == "tcp" || protocol == "messages") {
            auto relay = std::make_unique<StreamRelay>(this->loop, this->rules, name, target, protocol == "messages");
            address = relay->address();
            this->streamRelays.push_back(std::move(relay));
        } else {
            throw UserError("open relay", name, "unknown protocol; accepted: udp, tcp, messages");
        }
        return { { "name", name }, { "address", formatEndpoint(address) } };
    }

    StandinLoop& loop;
    ProxyRules rules;
    std::vector<std::unique_ptr<StreamRelay>> streamRelays;
    std::vector<std::unique_ptr<DatagramRelay>> datagramRelays;
};

}

int runProxyStandin(const std::vector<std::string>& arguments)
{
    const StandinOptions options(arguments, { "--listen" });
    StandinLoop loop;
    loop.watchStopSignals();
    Proxy proxy(loop);
    const ControlServer control(loop, options.listenAddress("--listen"), proxy.controlHandlers());
    printEvent({ { "event", "listening" }, { "address", formatEndpoint(control.address()) } });
    loop.run();
    return 0;
}

}
