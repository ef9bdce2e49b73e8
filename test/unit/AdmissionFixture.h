#pragma once

#include "coordination/FlowAdmission.h"
#include "messages.pb.h"
#include "protocol/ConfigurationDocument.h"
#include "protocol/InstanceList.h"
#include "protocol/PacketView.h"
#include "state/ConfigurationView.h"
#include "state/FlowTable.h"

#include <chrono>
#include <fmt/format.h>
#include <memory>
#include <string>

namespace chicoryferry {

// Flow admission of agent "a-1", one of three hosts of the service "job". Tests pass the time explicitly.
struct AdmissionFixture {
    using TimePoint = FlowAdmission::TimePoint;

    static std::shared_ptr<const ConfigurationView> makeView(
        std::uint64_t version, const std::string& ownState = "active", unsigned connections = 2)
    {
        std::string hosts;
        std::string instances;
        for (int index = 1; index <= 3; ++index) {
            hosts += fmt::format(
                R"({}{{"name":"a-{}","incarnation":{},"availabilityZone":"z","dataAddress":"127.0.0.1:700{}",)"
                R"("peerAddress":"127.0.0.1:800{}","slots":2,"connections":{},"state":"{}","labels":{{"service":"job"}}}})",
                index == 1 ? "" : ",", index, index, index, index, connections, index == 1 ? ownState : "active");
            instances += fmt::format(
                R"(,{{"name":"a-{}","role":"agent","availabilityZone":"z","incarnation":{},"dataAddress":)"
                R"("127.0.0.1:700{}","peerAddress":"127.0.0.1:800{}","adminAddress":"127.0.0.1:900{}","state":"live"}})",
                index, index, index, index, index);
        }
        const std::string document = fmt::format(
            R"({{"version":{},"services":[{{"name":"job","address":"10.1.0.1","port":80,"protocol":"http"}}],)"
            R"("callerGroups":[{{"name":"benches","prefixes":["10.9.0.0/16"]}}],)"
            R"("bindings":[{{"service":"job","callers":"benches","selector":"service=job"}}],"hosts":[{}]}})",
            version, hosts);
        const std::string list = fmt::format(
            R"({{"version":1,"instances":[{{"name":"b-1","role":"balancer","availabilityZone":"z","incarnation":1,)"
            R"("dataAddress":"127.0.0.1:6001","peerAddress":"127.0.0.1:6002","adminAddress":"127.0.0.1:6003",)"
            R"("state":"live"}}{}]}})",
            instances);
        return std::make_shared<ConfigurationView>(std::make_shared<Configuration>(parseConfiguration(document)),
            std::make_shared<InstanceList>(parseInstanceList(list)),
            std::vector<std::shared_ptr<const Configuration>> {});
    }

    AdmissionFixture() { this->admission.viewChanged(makeView(5)); }

    // An envelope that lists the given hosts as candidates and is addressed to the first of them.
    static wire::EnvelopeHeader envelope(std::initializer_list<std::uint32_t> hosts, std::uint64_t version = 5)
    {
        wire::EnvelopeHeader header;
        header.set_service_id(serviceId("job"));
        header.set_configuration_version(version);
        for (const std::uint32_t host : hosts) {
            wire::Candidate& candidate = *header.add_candidates();
            candidate.set_address(parseAddress("127.0.0.1"));
            candidate.set_port(7000 + host);
            candidate.set_incarnation(host);
        }
        return header;
    }

    PacketView first() const
    {
        PacketView packet = this->later(0);
        packet.synchronize = true;
        packet.acknowledge = false;
        return packet;
    }

    PacketView later(std::uint32_t acknowledgement) const
    {
        PacketView packet;
        packet.source = this->key.caller;
        packet.destination = this->key.service;
        packet.acknowledge = true;
        packet.acknowledgementNumber = acknowledgement;
        return packet;
    }

    AdmissionDecision decide(wire::EnvelopeHeader header, const PacketView& packet,
        std::chrono::milliseconds after = std::chrono::milliseconds(0),
        std::chrono::milliseconds confirmationAge = std::chrono::milliseconds(100))
    {
        const AdmissionDecision decision
            = this->admission.decide(this->start + after, this->balancer, header, packet, confirmationAge);
        this->lastHeader = header;
        return decision;
    }

    template <typename Reason> static bool drops(const AdmissionDecision& decision, Reason reason)
    {
        const auto* drop = std::get_if<DropPacket>(&decision);
        return drop != nullptr && drop->reason == reason;
    }

    static bool resets(const AdmissionDecision& decision, AdmissionRefusal reason)
    {
        const auto* reset = std::get_if<ResetFlow>(&decision);
        return reset != nullptr && reset->reason == reason;
    }

    FlowKey key { parseEndpoint("10.9.0.1:40000"), parseEndpoint("10.1.0.1:80") };
    Endpoint balancer = parseEndpoint("127.0.0.1:6001");
    TimePoint start { std::chrono::seconds(1000) };
    FlowTable flows;
    FlowAdmission admission { "a-1", 1, flows };
    wire::EnvelopeHeader lastHeader;
};

}
