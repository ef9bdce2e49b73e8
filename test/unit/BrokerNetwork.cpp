#include "BrokerNetwork.h"

#include "TestConfigurations.h"
#include "protocol/HopByHopHeaders.h"

namespace chicoryferry {

std::string CallerRecord::header(const std::string& name) const
{
    for (const auto& [field, value] : this->head.value_or(HttpAnswerHead {}).headers) {
        if (equalsIgnoringCase(field, name)) {
            return value;
        }
    }
    return {};
}

BrokerNetwork::BrokerNetwork(std::vector<ScriptedBackend::Script> scripts, unsigned slots)
    : agents(scripts.size())
    , transfer([](Message message) { return std::vector<Message> { std::move(message) }; })
    , slotCount(slots)
{
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        Agent& agent = this->agents[index];
        agent.backend = std::make_unique<ScriptedBackend>(this->loop, scripts[index]);
        agent.settings.role = "agent";
        agent.settings.instance = "job-" + std::to_string(index);
        agent.settings.backendServer = agent.backend->endpoint();
        agent.settings.backendSilence = std::chrono::milliseconds(300);
        agent.metrics = std::make_unique<Metrics>();
        agent.logger = std::make_unique<Logger>(LogLevel::Error, agent.settings.instance);
        agent.broker = std::make_unique<RequestBroker>(
            agent.settings, *agent.logger, *agent.metrics, this->loop,
            [this, index](EdgeEvent event) { this->receive(index, std::move(event)); },
            [this, index](const Endpoint& peer, wire::PeerMessage message) {
                message.mutable_sender()->set_instance(this->agents[index].settings.instance);
                message.mutable_sender()->set_incarnation(1);
                const std::size_t to = peer.port - 8000U;
                for (Message& sent : this->transfer({ index, to, std::move(message) })) {
                    this->messages.push_back(std::move(sent));
                }
                return true;
            });
    }
    this->publish();
}

void BrokerNetwork::publish(std::uint64_t lastIncarnation)
{
    std::vector<Host> hosts;
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        hosts.push_back(testing::makeHost("job", static_cast<unsigned>(index)));
        hosts.back().slots = this->slotCount;
    }
    hosts.back().incarnation = lastIncarnation;
    const auto configuration = testing::makeConfiguration(++this->version, hosts);
    Route route;
    route.path = "/";
    route.deadline = this->routeDeadline;
    configuration->services.front().routes.push_back(route);
    const auto view = testing::makeView(configuration);
    for (Agent& agent : this->agents) {
        agent.broker->viewChanged(this->now(), view, true);
    }
}

std::uint64_t BrokerNetwork::submit(
    std::size_t agent, const std::string& method, const std::string& target, std::string body)
{
    HttpRequestHead head;
    head.method = method;
    head.target = target;
    head.headers = { { "Host", "job" } };
    if (!body.empty()) {
        head.framing = BodyFraming::ContentLength;
        head.contentLength = body.size();
    }
    const std::uint64_t request
        = this->agents[agent].broker->submit(this->now(), "job", { 0x0a090001, 40000 }, std::move(head));
    this->agents[agent].callers[request];
    if (!body.empty()) {
        this->uploads[{ agent, request }] = std::move(body);
    }
    return request;
}

void BrokerNetwork::receive(std::size_t index, EdgeEvent event)
{
    Agent& agent = this->agents[index];
    if (const auto* credit = std::get_if<BodyCredit>(&event)) {
        agent.callers[credit->request].bodyCredit += credit->bytes;
    } else if (auto* start = std::get_if<AnswerStart>(&event)) {
        agent.callers[start->request].head = std::move(start->head);
    } else if (auto* data = std::get_if<AnswerData>(&event)) {
        agent.callers[data->request].body += data->data;
        agent.toConsume.emplace_back(data->request, data->data.size());
    } else if (const auto* finish = std::get_if<AnswerFinish>(&event)) {
        agent.callers[finish->request].complete = finish->complete;
    }
}

void BrokerNetwork::uploadBodies(std::size_t agent)
{
    for (auto& [request, caller] : this->agents[agent].callers) {
        const auto upload = this->uploads.find({ agent, request });
        if (upload == this->uploads.end() || caller.bodyCredit == 0 || caller.hasEnded()) {
            continue;
        }
        std::string part = upload->second.substr(0, caller.bodyCredit);
        upload->second.erase(0, part.size());
        caller.bodyCredit -= part.size();
        const bool last = upload->second.empty();
        if (last) {
            this->uploads.erase(upload);
        }
        this->agents[agent].broker->requestBody(this->now(), request, std::move(part), last);
    }
}

void BrokerNetwork::step()
{
    this->loop.runOnce(std::chrono::milliseconds(this->messages.empty() ? 1 : 0));
    std::deque<Message> arrived;
    arrived.swap(this->messages);
    for (const Message& message : arrived) {
        this->agents[message.to].broker->messageReceived(this->now(), message.content);
    }
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        Agent& agent = this->agents[index];
        this->uploadBodies(index);
        if (this->consumeAtOnce) {
            std::vector<std::pair<std::uint64_t, std::size_t>> consumed;
            consumed.swap(agent.toConsume);
            for (const auto& [request, bytes] : consumed) {
                agent.broker->answerConsumed(this->now(), request, bytes);
            }
        }
        agent.broker->tick(this->now());
    }
}

bool BrokerNetwork::runUntilTrue(const std::function<bool()>& done, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
        this->step();
    }
    return done();
}

bool BrokerNetwork::runToEnd(std::size_t agent, std::uint64_t request)
{
    return this->runUntilTrue([&] { return this->caller(agent, request).hasEnded(); });
}

double BrokerNetwork::drops(std::size_t agent, const std::string& reason)
{
    return this->agents[agent].metrics->drops("broker", reason).Value()
        + this->agents[agent].metrics->drops("granted run", reason).Value();
}

}
