#include "protocol/ConfigurationDocument.h"
#include "protocol/ConfigurationError.h"
#include "protocol/InstanceList.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace chicoryferry;

namespace {

nlohmann::json validDocument()
{
    return nlohmann::json::parse(R"({
      "version": 7, "retention": "10m",
      "services": [ { "name": "job", "address": "10.1.0.1", "port": 80, "protocol": "http",
          "routes": [ { "method": "GET", "path": "/layout/", "shareable": true, "repeatable": true, "deadline": "5s",
              "sizeClass": "short" } ] },
        { "name": "drawing", "address": "10.1.0.2", "port": 80 } ],
      "callerGroups": [ { "name": "benches", "prefixes": [ "10.9.0.0/16", "10.10.0.1" ] } ],
      "bindings": [ { "service": "job", "callers": "benches", "selector": "service=job" } ],
      "hosts": [ { "name": "job-1", "incarnation": 1, "availabilityZone": "dar-1", "dataAddress": "127.0.0.1:7001",
          "peerAddress": "127.0.0.1:7002", "slots": 2, "labels": { "service": "job" } } ] })");
}

std::vector<std::string> faultPaths(const nlohmann::json& document)
{
    std::vector<std::string> paths;
    try {
        parseConfiguration(document.dump());
    } catch (const ConfigurationError& error) {
        for (const ConfigurationFault& fault : error.faults()) {
            paths.push_back(fault.path);
        }
    }
    return paths;
}

}

// Guards against values that are parsed into the wrong field or unit.
TEST_CASE("the values of a valid document are parsed into their fields and units")
{
    const Configuration configuration = parseConfiguration(validDocument().dump());
    CHECK(configuration.version == 7);
    CHECK(configuration.retention == std::chrono::minutes(10));
    const Service& service = configuration.services.front();
    CHECK(service.endpoint == Endpoint { 0x0a010001, 80 });
    CHECK(service.routeFor("GET", "/layout/7").deadline == std::chrono::seconds(5));
    CHECK(service.routeFor("GET", "/other").deadline == std::chrono::seconds(30));
    CHECK(configuration.callerGroups.front().prefixes[0].contains(0x0a090102));
    CHECK_FALSE(configuration.callerGroups.front().prefixes[0].contains(0x0a0a0002));
    CHECK(configuration.callerGroups.front().prefixes[1].contains(0x0a0a0001));
    const Host& host = configuration.hosts.front();
    CHECK(host.slots == 2);
    CHECK(host.connections == 2000);
    CHECK(host.state == HostState::Active);
}

// Guards against a document that is accepted in part, and against faults that are reported without their path.
TEST_CASE("every fault is reported with its path")
{
    nlohmann::json document = validDocument();
    document["services"][0]["port"] = 0;
    document["services"][0]["routes"][0]["deadline"] = "5 s";
    document["services"][0]["routes"][0]["speed"] = 1;
    document["callerGroups"][0]["prefixes"][0] = "10.9.0.0/33";
    document["bindings"][0]["selector"] = "service=";
    document["hosts"][0].erase("slots");
    document["hosts"][0]["state"] = "gone";
    std::vector<std::string> expected { "/services/0/port", "/services/0/routes/0/deadline",
        "/services/0/routes/0/speed", "/callerGroups/0/prefixes", "/bindings/0/selector", "/hosts/0/slots",
        "/hosts/0/state" };
    std::vector<std::string> found = faultPaths(document);
    std::sort(expected.begin(), expected.end());
    std::sort(found.begin(), found.end());
    CHECK(found == expected);
}

// Guards against dangling references and duplicate elements.
TEST_CASE("references and uniqueness of elements are checked")
{
    nlohmann::json document = validDocument();
    document["bindings"][0]["service"] = "bakery";
    CHECK(faultPaths(document) == std::vector<std::string> { "/bindings/0/service" });
    document = validDocument();
    document["hosts"].push_back(document["hosts"][0]);
    CHECK(faultPaths(document).size() == 3);
    document = validDocument();
    document["services"][1]["address"] = "10.1.0.1";
    CHECK(faultPaths(document) == std::vector<std::string> { "/services/1" });
}

// Guarantee P2 of docs/promises.md: packets and requests for one service never reach another. Guards against labels
// that would route one service's requests to another service's backend server.
TEST_CASE("a host that two services select is refused")
{
    nlohmann::json document = validDocument();
    document["bindings"].push_back({ { "service", "drawing" }, { "callers", "benches" }, { "selector", "service" } });
    CHECK(faultPaths(document) == std::vector<std::string> { "/hosts/0/labels" });
}

// Guards the platform's limit on the size of a value.
TEST_CASE("a document above the size limit is refused")
{
    CHECK_THROWS_AS(parseConfiguration(std::string(maximumDocumentBytes + 1, ' ')), ConfigurationError);
}

// Guards against crashes on unexpected documents: a random value of a valid document is replaced by one of another
// type or range.
TEST_CASE("a document with any value replaced is parsed or refused")
{
    const nlohmann::json flat = validDocument().flatten();
    const std::vector<nlohmann::json> values { nullptr, true, -1, 1.5, "", "x", nlohmann::json::array(),
        nlohmann::json::object(), 18446744073709551615ULL, "999999999999h" };
    CHECK(rc::check("replaced values", [&] {
        auto path = flat.items().begin();
        std::advance(path, *rc::gen::inRange<int>(0, static_cast<int>(flat.size())));
        nlohmann::json document = validDocument();
        document[nlohmann::json::json_pointer(path.key())] = *rc::gen::elementOf(values);
        try {
            parseConfiguration(document.dump());
        } catch (const ConfigurationError& error) {
            RC_ASSERT(!error.faults().empty());
        }
    }));
}

// Guards against instance lists that would send control messages to addresses where no process listens.
TEST_CASE("a valid instance list is parsed, and an invalid one is refused as a whole")
{
    nlohmann::json list = { { "version", 3 },
        { "instances",
            { { { "name", "b-1" }, { "role", "balancer" }, { "availabilityZone", "dar-1" }, { "incarnation", 4 },
                { "dataAddress", "127.0.0.1:1" }, { "peerAddress", "127.0.0.1:2" }, { "state", "leaving" } } } } };
    const InstanceList parsed = parseInstanceList(list.dump());
    REQUIRE(parsed.find("b-1"));
    CHECK(parsed.find("b-1")->state == InstanceState::Leaving);
    CHECK(parsed.find("b-2") == nullptr);
    list["instances"].push_back(list["instances"][0]);
    list["instances"][0]["role"] = "cook";
    CHECK_THROWS_AS(parseInstanceList(list.dump()), ConfigurationError);
}
