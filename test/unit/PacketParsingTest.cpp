#include "TestPackets.h"
#include "messages.pb.h"
#include "protocol/Envelope.h"
#include "protocol/PacketView.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;

namespace {

const Endpoint caller { 0x0a090101, 40000 };
const Endpoint service { 0x0a010001, 80 };

PacketFault faultOf(const std::vector<std::uint8_t>& packet)
{
    const auto parsed = parsePacket(packet);
    REQUIRE(std::holds_alternative<PacketFault>(parsed));
    return std::get<PacketFault>(parsed);
}

}

// Guards against fields read at a wrong offset, which would route flows to arbitrary hosts.
TEST_CASE("the addresses, ports and flags of a packet are parsed")
{
    const auto bytes = makePacket(caller, service, synchronize, 5);
    const auto parsed = parsePacket(bytes);
    REQUIRE(std::holds_alternative<PacketView>(parsed));
    const auto& packet = std::get<PacketView>(parsed);
    CHECK(packet.source == caller);
    CHECK(packet.destination == service);
    CHECK(packet.isFirst());
    CHECK(packet.payloadLength == 5);
    CHECK_FALSE(std::get<PacketView>(parsePacket(makePacket(caller, service, acknowledge))).isFirst());
}

// Guards against malformed packets that are forwarded to an agent.
TEST_CASE("a malformed packet is refused with the reason")
{
    const auto valid = makePacket(caller, service, acknowledge, 10);
    CHECK(faultOf({}) == PacketFault::Malformed);
    auto packet = valid;
    packet[0] = 0x65;
    CHECK(faultOf(packet) == PacketFault::Malformed);
    packet = valid;
    packet[0] = 0x44;
    CHECK(faultOf(packet) == PacketFault::Malformed);
    packet = valid;
    packet[6] = 0x20;
    CHECK(faultOf(packet) == PacketFault::Fragment);
    packet = valid;
    packet[7] = 1;
    CHECK(faultOf(packet) == PacketFault::Fragment);
    packet = valid;
    packet.push_back(0);
    CHECK(faultOf(packet) == PacketFault::LengthMismatch);
    packet = valid;
    packet[32] = 0xf0;
    CHECK(faultOf(packet) == PacketFault::LengthMismatch);
    packet = valid;
    packet[32] = 0x10;
    CHECK(faultOf(packet) == PacketFault::LengthMismatch);
    packet = valid;
    packet[9] = 17;
    CHECK(faultOf(packet) == PacketFault::NotTcp);
}

// Guards against reads beyond the end of the datagram, which the sanitizer build detects.
TEST_CASE("arbitrary bytes are parsed or refused")
{
    CHECK(rc::check("packet bytes", [](std::vector<std::uint8_t> bytes) {
        if (*rc::gen::arbitrary<bool>() && bytes.size() > 4) {
            bytes[0] = 0x45;
            bytes[2] = static_cast<std::uint8_t>(bytes.size() >> 8U);
            bytes[3] = static_cast<std::uint8_t>(bytes.size());
        }
        parsePacket(bytes);
        wire::EnvelopeHeader header;
        decodeEnvelope(bytes, header);
    }));
}

// Guards against an agent that processes a truncated envelope.
TEST_CASE("an envelope is decoded, and refused when truncated or inconsistent")
{
    wire::EnvelopeHeader header;
    header.set_service_id(~0ULL);
    header.set_configuration_version(~0ULL);
    for (int candidate = 0; candidate < maximumCandidates; ++candidate) {
        wire::Candidate* added = header.add_candidates();
        added->set_address(~0U);
        added->set_port(65535);
        added->set_incarnation(~0ULL);
    }
    std::vector<std::uint8_t> datagram(maximumEnvelopeHeaderBytes);
    const std::size_t length = encodeEnvelopeHeader(header, datagram);
    REQUIRE(length > 0);
    datagram.resize(length);
    datagram.push_back(42);
    wire::EnvelopeHeader decoded;
    const auto packet = decodeEnvelope(datagram, decoded);
    REQUIRE(packet.has_value());
    CHECK(packet->size() == 1);
    CHECK(decoded.candidates_size() == maximumCandidates);
    CHECK_FALSE(decodeEnvelope(std::span(datagram).first(length - 1), decoded).has_value());
    header.set_current(maximumCandidates);
    const std::size_t inconsistent = encodeEnvelopeHeader(header, datagram);
    CHECK_FALSE(decodeEnvelope(std::span(datagram).first(inconsistent), decoded).has_value());
}
