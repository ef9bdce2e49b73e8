#include "ExchangeNetwork.h"

#include "protocol/Configuration.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against two operators publishing different documents under the same version without being detected.
TEST_CASE("a different document under the same version is refused, and all processes converge on the next version")
{
    ExchangeNetwork network(8, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    for (std::size_t index = 4; index < 8; ++index) {
        network.member(index).partitionId = 1;
        network.member(index).paused = true;
    }
    network.publishConfiguration(2, 3);
    network.run(3s);
    network.publishConfiguration(2, 5);
    for (std::size_t index = 4; index < 8; ++index) {
        network.member(index).paused = false;
    }
    network.run(3s);
    for (std::size_t index = 4; index < 8; ++index) {
        network.member(index).partitionId = 0;
    }
    network.run(5s);
    CHECK(network.membersWithout(2).empty());
    double conflicts = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        conflicts += network.member(index).metrics.refusals("compare versions", "version_conflict").Value();
    }
    CHECK(conflicts > 0);

    network.publishConfiguration(3, 4);
    network.run(5s);
    CHECK(network.membersWithout(3).empty());
    const std::uint64_t hash = network.member(0).exchange->store().hash(DocumentKind::Configuration);
    CHECK(network.member(7).exchange->store().hash(DocumentKind::Configuration) == hash);
}

// Guards against a conflicting document that is taken for a repeated one, or replaces the document in force.
TEST_CASE("the store distinguishes different content under the version in force from a repeated document")
{
    const auto now = std::chrono::steady_clock::time_point(1h);
    ConfigurationStore store;
    REQUIRE(
        store.offerText(now, DocumentKind::Configuration, configurationText(5, 2)).outcome == StoreOutcome::Accepted);
    CHECK(store.offerText(now, DocumentKind::Configuration, configurationText(5, 2)).outcome == StoreOutcome::NotNewer);
    CHECK(store.offerText(now, DocumentKind::Configuration, configurationText(5, 3)).outcome == StoreOutcome::Conflict);
    CHECK(store.configuration()->hosts.size() == 2);
}
