#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

namespace {

std::string withInvalidSlots(std::string text)
{
    const std::size_t slots = text.find("\"slots\":2");
    return text.replace(slots, 9, "\"slots\":0");
}

}

// Guarantee P10 of docs/promises.md: invalid input is refused. Guards against an invalid document that is applied in
// part or keeps the next valid one from being read.
TEST_CASE("an invalid document is refused with the path of the fault, and the next valid version is accepted")
{
    ExchangeNetwork network(4, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    const std::uint64_t callsBefore = network.platformCalls;
    network.publish(DocumentKind::Configuration, withInvalidSlots(configurationText(2, 9)), 2);
    network.run(10s);
    CHECK(network.membersWithout(1).empty());
    CHECK(network.platformCalls - callsBefore < 60);
    double refusals = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        refusals += network.member(index).metrics.refusals("take configuration", "invalid").Value();
    }
    // Once by each of the two readers: a refused version is not read again.
    CHECK(refusals == 2);

    network.publishConfiguration(3, 5);
    network.run(5s);
    CHECK(network.membersWithout(3).empty());
}

// Guarantee P10 of docs/promises.md: invalid input is refused. Guards against a store that accepts an invalid,
// unparsable or oversized document.
TEST_CASE("the store reports the path of the fault and keeps the version in force")
{
    const auto now = std::chrono::steady_clock::time_point(1h);
    ConfigurationStore store;
    store.offerText(now, DocumentKind::Configuration, configurationText(1, 2));
    const StoreResult result
        = store.offerText(now, DocumentKind::Configuration, withInvalidSlots(configurationText(2, 3)));
    CHECK(result.outcome == StoreOutcome::Invalid);
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].path == "/hosts/0/slots");
    CHECK(store.version(DocumentKind::Configuration) == 1);
    CHECK(store.offerText(now, DocumentKind::Configuration, "{").outcome == StoreOutcome::Invalid);
    CHECK(store.offerText(now, DocumentKind::Configuration, std::string(1'000'001, ' ')).outcome
        == StoreOutcome::Invalid);
}
