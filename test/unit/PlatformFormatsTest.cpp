#include "platform/FlowPayload.h"
#include "platform/PacketFormat.h"
#include "platform/SettingsFile.h"
#include "platform/StoreDocuments.h"
#include "support/UserError.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace chicoryferry;
using namespace chicoryferry::platform;

namespace {

std::vector<std::uint8_t> bytesOf(const std::string& text) { return { text.begin(), text.end() }; }

const std::string settingsText = "node-name=side-1\nzone=a\nip=10.1.0.12\nlisten.datagram-addr=10.1.0.12:8172\n"
                                 "listen.outbound=10.1.0.12:8162\nlisten.ready-addr=10.1.0.12:8167\n"
                                 "internal-ports=7720,7735\nseeds=10.1.0.10:8166,10.2.0.40:8166\napp=10.1.0.12:8165\n"
                                 "service=job\nplatform.address=10.200.1.7:8169\nplatform.reads-per-s=2000\n"
                                 "bounds.grace-s=6\nsomething.new=1\n";

}

// Guards against a wrong byte order or offset, which would send packets to another service.
TEST_CASE("the example packets of the protocol are decoded and encoded")
{
    const std::array<std::uint8_t, 32> first { 0xd5, 0xc3, 0xb2, 0xa1, 0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 0xbb, 0x01,
        0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0, 0, 0, 0, 0x02, 0, 0, 0 };
    const auto packet = decodePacket(first);
    REQUIRE(packet);
    CHECK(packet->source == parseEndpoint("100.64.0.7:40001"));
    CHECK(packet->destination == parseEndpoint("198.18.0.1:443"));
    CHECK(packet->sequence == 0x11223344);
    CHECK(packet->isFirst());
    CHECK_FALSE(packet->returned);
    const std::array<std::uint8_t, 32> reset { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64,
        0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0, 0, 0, 0, 0x20, 0, 0, 0 };
    CHECK(encodeReset(packet->destination, packet->source, 0) == reset);
}

// Guards against reads beyond the end of a datagram.
TEST_CASE("datagrams whose size does not match their length field are refused")
{
    std::array<std::uint8_t, 33> datagram {};
    CHECK_FALSE(decodePacket(datagram));
    datagram[30] = 1;
    CHECK(decodePacket(datagram));
    CHECK_FALSE(decodePacket(std::span(datagram).first(31)));
}

// Guards against a settings file that is applied in part.
TEST_CASE("settings are read, unknown names are ignored, and the error for a bad value names the setting")
{
    const NodeSettings settings = parseSettingsFile(settingsText);
    CHECK(settings.service == "job");
    CHECK(settings.backendServer == parseEndpoint("10.1.0.12:8165"));
    CHECK(settings.peerAddress == parseEndpoint("10.1.0.12:7720"));
    CHECK(settings.seedAddresses.size() == 2);
    CHECK(settings.stopGrace == std::chrono::seconds(6));
    CHECK_THROWS_WITH_AS(parseSettingsFile("zone=a\n"), doctest::Contains("node-name"), UserError);
    std::string bad = settingsText;
    bad.replace(bad.find("grace-s=6"), 9, "grace-s=many");
    CHECK_THROWS_WITH_AS(parseSettingsFile(bad), doctest::Contains("bounds.grace-s"), UserError);
    for (const char* ports : { "internal-ports=,", "internal-ports=99999999,1", "internal-ports=0,1" }) {
        std::string badPorts = settingsText;
        badPorts.replace(badPorts.find("internal-ports=7720,7735"), 24, ports);
        CAPTURE(ports);
        CHECK_THROWS_WITH_AS(parseSettingsFile(badPorts), doctest::Contains("internal-ports"), UserError);
    }
}

// Guards against a crash on malformed entries from other writers of the store; none of these describes a host.
TEST_CASE("malformed entries are refused")
{
    const std::string good = R"({"service":"job","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,)"
                             R"("state":"ready","cold-remaining-ms":250,"seq":4,"born":1790000000000})";
    const auto entry = parseHostEntry("i-1", good);
    REQUIRE(entry);
    CHECK(entry->slots == 2);
    CHECK(entry->coldRemaining == std::chrono::milliseconds(250));
    CHECK(entry->startedAtMs == 1790000000000);
    for (const char* text : { "", "null", "[]", "{}", "\xff\xfe", R"({"service":"job"})",
             R"({"service":1,"address":"10.128.0.9:8080","zone":"a","slots":2,"state":"ready"})",
             R"({"service":"job","address":"nowhere","zone":"a","slots":2,"state":"ready"})",
             R"({"service":"job","address":"10.128.0.9:8080","zone":"a","slots":0,"state":"ready"})",
             R"({"service":"job","address":"10.128.0.9:8080","zone":"a","slots":2,"state":"sleeping"})",
             R"({"service":"job","address":"10.128.0.9:8080","zone":"a","slots":2,"state":"ready","born":1.5})" }) {
        CAPTURE(text);
        CHECK_FALSE(parseHostEntry("i-1", text));
    }
}

// Guards against a listing or an event that is dropped, decoded wrongly, or attributed to another key.
TEST_CASE("store answers are decoded into changes")
{
    const auto listing = parseListAnswer(
        R"({"items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdG5hbWUiOiIxOTguMTguMC4xIiwicHJlZml4IjoiLzg0NDMvIiwicm91dGUtdHlwZSI6InNhZmUiLCJ0aW1lb3V0LW1zIjoxMDAwLCJ0YXJnZXQtbGF0ZW5jeS1tcyI6MTAwLCJwcmlvcml0eSI6Miwic2VydmljZSI6ImpvYiJ9XX0=","revision":3},)"
        R"({"key":"other/key","value":"AAAA","revision":4},{"key":"servers/i-2","value":"!","revision":5}],)"
        R"("truncated":true,"store-revision":9})");
    CHECK(listing.revision == 9);
    CHECK(listing.nextAfter == "servers/i-2");
    CHECK(listing.ignored == 1);
    REQUIRE(listing.changes.size() == 2);
    const RouteTable& table = std::get<RouteTableWritten>(listing.changes[0]).table;
    CHECK(table.version == 7);
    REQUIRE(table.routes.contains(parseEndpoint("198.18.0.1:8443")));
    CHECK(table.routes.at(parseEndpoint("198.18.0.1:8443")).idempotent);
    CHECK(std::get<HostRemoved>(listing.changes[1]).malformed);

    const auto events
        = parseWatchAnswer(R"({"events":[{"key":"servers/i-1","revision":10,"tombstone":true}],"store-revision":10})");
    REQUIRE(events.changes.size() == 1);
    CHECK(std::get<HostRemoved>(events.changes[0]).id == "i-1");
    CHECK_THROWS_AS(parseWatchAnswer("not json"), UserError);
    CHECK_THROWS_AS(parseWatchAnswer(R"({"items":[]})"), UserError);
}

// Guards against log lines without the request ID.
TEST_CASE("the request ID and the answer status are extracted")
{
    CHECK(
        parseRequestMetadata(bytesOf("GET / HTTP/1.1\r\nHost: a\r\nx-chicoryferry-request-id: abc-1\r\n\r\n")).requestId
        == "abc-1");
    CHECK(parseRequestMetadata(bytesOf("GET / HTTP/1.1\r\n")).requestId.empty());
    CHECK(parseAnswerMetadata(bytesOf("HTTP/1.1 503 Busy\r\n")).status == 503);
    CHECK(parseAnswerMetadata(bytesOf("HTTP/1.1 ")).status == 0);
}
