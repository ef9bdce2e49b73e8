#include "ExchangeNetwork.h"

#include "state/ConfigurationView.h"

#include <algorithm>
#include <fmt/format.h>

namespace chicoryferry::testing {

namespace {

constexpr std::chrono::milliseconds step { 10 };
constexpr std::chrono::milliseconds messageDelay { 1 };

}

std::string configurationText(std::uint64_t version, unsigned hosts)
{
    std::string text
        = fmt::format(R"({{"version":{},"retention":"600s","services":[{{"name":"job","address":"10.1.0.1","port":80,)"
                      R"("protocol":"http","routes":[]}}],"callerGroups":[{{"name":"all","prefixes":["0.0.0.0/0"]}}],)"
                      R"("bindings":[{{"service":"job","callers":"all","selector":"service=job"}}],"hosts":[)",
            version);
    for (unsigned host = 0; host < hosts; ++host) {
        text += fmt::format(
            R"({}{{"name":"job-{}","incarnation":1,"availabilityZone":"z0","dataAddress":"10.2.{}.{}:7000",)"
            R"("peerAddress":"10.2.{}.{}:7001","slots":2,"connections":2000,"state":"active",)"
            R"("labels":{{"service":"job"}}}})",
            host == 0 ? "" : ",", host, host / 250, host % 250 + 1, host / 250, host % 250 + 1);
    }
    return text + "]}";
}

std::uint64_t ExchangeNetwork::Member::configurationVersion() const
{
    const auto view = this->exchange->view();
    return view ? view->configuration().version : 0;
}

ExchangeNetwork::ExchangeNetwork(std::size_t count, std::size_t membersPerZone)
{
    for (std::size_t index = 0; index < count; ++index) {
        this->add(membersPerZone, true);
    }
    this->publishInstances(1);
}

ExchangeNetwork::Member& ExchangeNetwork::add(std::size_t membersPerZone, bool isListed)
{
    const std::size_t index = this->members.size();
    auto member = std::make_unique<Member>();
    member->name = fmt::format("p{}", index);
    member->availabilityZone = fmt::format("z{}", index / membersPerZone);
    member->endpoint = { 0x7f000001, static_cast<std::uint16_t>(10000 + index) };
    member->exchange = std::make_unique<ConfigurationExchange>(member->name, member->availabilityZone, member->endpoint,
        std::vector<Endpoint> {}, member->logger, member->metrics);
    this->members.push_back(std::move(member));
    this->listed.push_back(isListed);
    return *this->members.back();
}

void ExchangeNetwork::publish(DocumentKind kind, const std::string& text, std::uint64_t version)
{
    this->documents[kind].push_back({ version, text });
}

void ExchangeNetwork::publishConfiguration(std::uint64_t version, unsigned hosts)
{
    this->publish(DocumentKind::Configuration, configurationText(version, hosts), version);
}

void ExchangeNetwork::publishInstances(std::uint64_t version)
{
    std::string text = fmt::format(R"({{"version":{},"instances":[)", version);
    const char* separator = "";
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        const Member& member = *this->members[index];
        if (!this->listed[index]) {
            continue;
        }
        text += fmt::format(
            R"({}{{"name":"{}","role":"balancer","availabilityZone":"{}","incarnation":1,"dataAddress":"127.0.0.2:{}",)"
            R"("peerAddress":"{}","adminAddress":"127.0.0.3:{}","state":"live"}})",
            separator, member.name, member.availabilityZone, member.endpoint.port, formatEndpoint(member.endpoint),
            member.endpoint.port);
        separator = ",";
    }
    this->publish(DocumentKind::Instances, text + "]}", version);
}

void ExchangeNetwork::inject(Member& member, const wire::PeerMessage& message)
{
    if (auto outputs = member.exchange->messageReceived(this->time, message)) {
        this->applyOutputs(member, std::move(*outputs));
    }
}

void ExchangeNetwork::applyOutputs(Member& member, ConfigurationExchange::Outputs outputs)
{
    for (auto& output : outputs) {
        if (auto* message = std::get_if<ConfigurationExchange::Message>(&output)) {
            message->message.mutable_sender()->set_instance(member.name);
            this->deliveries.push_back(
                { this->time + messageDelay, &member, message->peer, std::move(message->message) });
        } else {
            ++this->platformCalls;
            this->pendingReads.push_back({ &member, std::get<QueryPlatform>(output), this->time });
        }
    }
}

void ExchangeNetwork::deliverDueMessages()
{
    std::deque<Delivery> pending = std::move(this->deliveries);
    this->deliveries.clear();
    for (Delivery& delivery : pending) {
        const auto receiver = std::find_if(this->members.begin(), this->members.end(),
            [&](const auto& member) { return member->endpoint == delivery.receiver; });
        if (receiver == this->members.end() || !(*receiver)->alive
            || (*receiver)->partitionId != delivery.sender->partitionId) {
            continue;
        }
        if ((*receiver)->paused || delivery.due > this->time) {
            this->deliveries.push_back(std::move(delivery));
        } else {
            this->inject(**receiver, delivery.message);
        }
    }
}

std::optional<PlatformReport> ExchangeNetwork::answer(const PendingRead& read) const
{
    PlatformReport report;
    report.requestedAt = read.requestedAt;
    report.answeredAt = this->time;
    if (this->outage) {
        report.text = "outage";
        return report;
    }
    const auto found = this->documents.find(read.ask.kind);
    const bool stale = this->staleVersion && read.ask.kind == DocumentKind::Configuration;
    if (found != this->documents.end()) {
        const auto& stored = found->second;
        const auto served = stale ? std::find_if(stored.begin(), stored.end(),
                                [&](const Stored& document) { return document.version == *this->staleVersion; })
                                  : stored.end() - 1;
        if (stale || served->version > read.ask.after) {
            report.result = PlatformReport::Result::Document;
            report.text = served->text;
            return report;
        }
    }
    report.result = PlatformReport::Result::Unchanged;
    return this->time - read.requestedAt >= read.ask.wait ? std::optional(report) : std::nullopt;
}

void ExchangeNetwork::answerReads()
{
    std::vector<PendingRead> pending = std::move(this->pendingReads);
    this->pendingReads.clear();
    for (const PendingRead& read : pending) {
        const auto report = read.member->paused ? std::nullopt : this->answer(read);
        if (!read.member->alive) {
            continue;
        }
        if (!report) {
            this->pendingReads.push_back(read);
            continue;
        }
        this->applyOutputs(*read.member,
            read.member->exchange->platformAnswered(
                this->time, { read.ask.after, read.ask.wait }, read.ask.kind, *report));
    }
}

void ExchangeNetwork::run(std::chrono::milliseconds duration)
{
    for (const TimePoint end = this->time + duration; this->time < end; this->time += step) {
        this->deliverDueMessages();
        this->answerReads();
        for (auto& member : this->members) {
            if (member->alive && !member->paused) {
                this->applyOutputs(*member, member->exchange->tick(this->time));
            }
        }
    }
}

std::vector<std::string> ExchangeNetwork::membersWithout(std::uint64_t version) const
{
    std::vector<std::string> names;
    for (const auto& member : this->members) {
        if (member->alive && member->configurationVersion() != version) {
            names.push_back(fmt::format("{}: {}", member->name, member->configurationVersion()));
        }
    }
    return names;
}

}
