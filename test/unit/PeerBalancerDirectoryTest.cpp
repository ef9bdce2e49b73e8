#include "app/DirectorySnapshot.h"
#include "state/HostDirectory.h"
#include "state/PeerBalancers.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const PeerBalancers::TimePoint start { std::chrono::hours(1) };

Endpoint balancer(std::uint32_t number) { return { 0x0A000000 + number, 7720 }; }

}

// Guards against a process that the store refuses and that knows no peer (seen in msasani-cut, trouble-3).
TEST_CASE("seeds and learned addresses are contacted until they answer")
{
    PeerBalancers peers(balancer(1));
    peers.setSeeds({ balancer(1), balancer(2) });
    CHECK(peers.helloTargets(start) == std::vector { balancer(2) });
    const std::vector learned { balancer(1), balancer(3) };
    peers.addReportedPeers(learned, start);
    CHECK(peers.helloTargets(start).size() == 2);
    // A learned address that never answers is removed; the seed stays.
    CHECK(peers.helloTargets(start + seconds(30)) == std::vector { balancer(2) });
}

// Guards against a return to older state: only a peer with a higher revision is queried, and a late datagram with a
// lower revision is ignored.
TEST_CASE("state is fetched from the live peer with the highest revision")
{
    PeerBalancers peers(balancer(1));
    peers.recordHello(balancer(2), { 1, { 0, 50 }, true }, start);
    peers.recordHello(balancer(3), { 1, { 0, 60 }, true }, start);
    peers.recordHello(balancer(3), { 1, { 0, 40 }, true }, start);
    CHECK(peers.newerPeer({ 0, 45 }, start) == balancer(3));
    CHECK_FALSE(peers.newerPeer({ 0, 60 }, start));
    peers.fetchFailed(balancer(3), start);
    CHECK(peers.newerPeer({ 0, 45 }, start) == balancer(2));
    CHECK_FALSE(peers.newerPeer({ 0, 45 }, start + seconds(2)));
}

// Guards against a number of store calls that grows with the number of balancers, and against having no reader at all.
TEST_CASE("three of many balancers read the store, and others replace silent or failing readers")
{
    constexpr std::uint32_t count = 21;
    const auto readersAt = [&](PeerBalancers::TimePoint now, const std::vector<std::uint32_t>& failing) {
        std::vector<std::uint32_t> readers;
        for (std::uint32_t self = 0; self < count; ++self) {
            PeerBalancers peers(balancer(self));
            for (std::uint32_t other = 0; other < count; ++other) {
                const bool fails = std::find(failing.begin(), failing.end(), other) != failing.end();
                peers.recordHello(balancer(other), { 1, { 0, 1 }, !fails }, start);
            }
            if (peers.isReader(now)) {
                readers.push_back(self);
            }
        }
        return readers;
    };
    const auto readers = readersAt(start, {});
    CHECK(readers.size() == PeerBalancers::maximumReaders);
    const auto after = readersAt(start, readers);
    CHECK(after.size() == 2 * PeerBalancers::maximumReaders); // the failing readers keep trying
    CHECK(readersAt(start + seconds(2), {}).size() == count); // no peer has been heard from
}

// Guards against fields that are lost when the directory is encoded for a peer.
TEST_CASE("a snapshot contains the whole directory")
{
    HostDirectory directory;
    RouteTable table;
    table.version = 9;
    table.routes[{ 1, 443 }] = { "job", true, milliseconds(100), milliseconds(1000), 2 };
    table.services["job"] = { 2.5 };
    directory.apply(RouteTableWritten { table }, start);
    const HostEntry entry { "i-1", "job", { 5, 8080 }, "zone", 3, true, milliseconds(700), 77 };
    directory.apply(HostWritten { entry }, start);
    directory.advanceTo(33);
    const auto snapshot = decodeSnapshot(encodeSnapshot(directory, start));
    REQUIRE(snapshot);
    CHECK(snapshot->version.revision == 33);
    REQUIRE(snapshot->changes.size() == 2);
    CHECK(std::get<RouteTableWritten>(snapshot->changes[0]).table == table);
    CHECK(std::get<HostWritten>(snapshot->changes[1]).entry == entry);
    CHECK_FALSE(decodeSnapshot("\xff\xff\xff"));
}

// Guards against a balancer that takes its hosts for all hosts, although a peer from which it cannot fetch knows more.
TEST_CASE("the newest version is that of any live peer, also of one from which a fetch has failed")
{
    PeerBalancers peers(balancer(1));
    CHECK(peers.newestVersion(start) == StoreVersion {});
    peers.recordHello(balancer(2), { 1, { 0, 50 }, true }, start);
    peers.recordHello(balancer(3), { 1, { 0, 60 }, true }, start);
    peers.fetchFailed(balancer(3), start);
    CHECK(peers.newerPeer({ 0, 40 }, start) == balancer(2));
    CHECK(peers.newestVersion(start) == StoreVersion { 0, 60 });
    CHECK(peers.newestVersion(start + seconds(2)) == StoreVersion {}); // neither is live
}

// Guards against a fleet without a reader that notices a partition early, and against several, as each costs calls.
TEST_CASE("exactly one of the readers that reach the store is the first")
{
    constexpr std::uint32_t count = 6;
    const auto firstOf = [&](const std::vector<std::uint32_t>& failing) {
        std::vector<std::uint32_t> first;
        for (std::uint32_t self = 1; self <= count; ++self) {
            PeerBalancers peers(balancer(self));
            for (std::uint32_t peer = 1; peer <= count; ++peer) {
                const bool available = std::find(failing.begin(), failing.end(), peer) == failing.end();
                peers.recordHello(balancer(peer), { 1, { 0, 50 }, available }, start);
            }
            const bool fails = std::find(failing.begin(), failing.end(), self) != failing.end();
            if (!fails && peers.readersBefore(start) == 0) {
                first.push_back(self);
            }
        }
        return first;
    };
    const auto first = firstOf({});
    REQUIRE(first.size() == 1);
    const auto second = firstOf(first);
    REQUIRE(second.size() == 1);
    CHECK(second != first);
}
