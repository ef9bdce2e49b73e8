#include "ExchangeNetwork.h"

#include "state/DocumentPatch.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

namespace {

const auto start = std::chrono::steady_clock::time_point(1h);

ConfigurationStore makeStore(std::uint64_t version, unsigned hosts)
{
    ConfigurationStore store;
    store.offerText(start, DocumentKind::Configuration, configurationText(version, hosts));
    return store;
}

}

// Guards against a process that builds a different document from a patch than its sender has.
TEST_CASE("a patch whose result has a different hash is refused and the whole document is accepted")
{
    ConfigurationStore sender = makeStore(1, 20);
    REQUIRE(sender.offerText(start, DocumentKind::Configuration, configurationText(2, 21)).outcome
        == StoreOutcome::Accepted);
    const DocumentTransfer patch = sender.transferTo(DocumentKind::Configuration, 1);
    REQUIRE(patch.baseVersion == 1);

    ConfigurationStore same = makeStore(1, 20);
    CHECK(same.offerTransfer(start, DocumentKind::Configuration, patch).outcome == StoreOutcome::Accepted);
    CHECK(same.hash(DocumentKind::Configuration) == sender.hash(DocumentKind::Configuration));

    // Different content with the same version 1: the patch applies, but to the wrong document.
    ConfigurationStore other = makeStore(1, 25);
    CHECK(other.offerTransfer(start, DocumentKind::Configuration, patch).outcome == StoreOutcome::HashMismatch);
    CHECK(other.version(DocumentKind::Configuration) == 1);
    const DocumentTransfer whole = sender.transferTo(DocumentKind::Configuration, 0);
    CHECK(whole.baseVersion == 0);
    CHECK(other.offerTransfer(start, DocumentKind::Configuration, whole).outcome == StoreOutcome::Accepted);

    ConfigurationStore older = makeStore(0, 0);
    CHECK(older.offerTransfer(start, DocumentKind::Configuration, patch).outcome == StoreOutcome::BaseMissing);
}

// Guards against a process that stays without the new version because it cannot apply the patch.
TEST_CASE("a process with different content for the base version gets the whole document from its parent")
{
    ExchangeNetwork network(6, 6);
    network.publishConfiguration(1, 20);
    network.run(4s);
    network.publishConfiguration(2, 21);
    for (std::size_t index = 0; index < network.size(); ++index) {
        network.member(index).paused = !network.member(index).exchange->node().isReader();
    }
    network.run(1s);
    // A peer sends a different document with version 2 before the patch of the parent arrives.
    const ConfigurationStore other = makeStore(2, 30);
    for (std::size_t index = 0; index < network.size(); ++index) {
        if (!network.member(index).paused) {
            continue;
        }
        network.member(index).paused = false;
        wire::PeerMessage message;
        wire::Document& document = *message.mutable_update()->mutable_configuration();
        const DocumentTransfer transfer = other.transferTo(DocumentKind::Configuration, 0);
        document.set_version(2);
        document.set_content(transfer.content);
        document.set_content_hash(transfer.contentHash);
        network.inject(network.member(index), message);
    }
    network.publishConfiguration(3, 22);
    network.run(5s);
    CHECK(network.membersWithout(3).empty());
    const std::uint64_t hash = network.member(0).exchange->store().hash(DocumentKind::Configuration);
    for (std::size_t index = 0; index < network.size(); ++index) {
        CHECK(network.member(index).exchange->store().hash(DocumentKind::Configuration) == hash);
    }
}

// Guards against patches that rewrite every host after an inserted or removed one.
TEST_CASE("a patch for a few hosts is small and produces the same document")
{
    const auto before = nlohmann::json::parse(configurationText(1, 400));
    auto after = nlohmann::json::parse(configurationText(2, 401));
    after["hosts"].erase(3);
    after["hosts"][100]["state"] = "draining";
    const nlohmann::json patch = makePatch(before, after);
    CHECK(before.patch(patch) == after);
    CHECK(patch.dump().size() < 1000);

    auto reordered = after;
    std::swap(reordered["hosts"][0], reordered["hosts"][1]);
    CHECK(after.patch(makePatch(after, reordered)) == reordered);
}
