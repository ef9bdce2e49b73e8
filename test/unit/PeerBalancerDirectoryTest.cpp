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

// Guards against balancers with a gap that nobody notices while the store does not change, and against two balancers
// that exchange their entries without end.
TEST_CASE("entries that differ at the same version are taken from the first reader, or from any peer without one")
{
    constexpr std::uint32_t count = 5;
    const StoreVersion version { 0, 50 };
    std::vector<std::uint32_t> order { 1, 2, 3, 4, 5 }; // by the order of readers
    const auto readersBefore = [&](std::uint32_t self) {
        PeerBalancers peers(balancer(self));
        for (std::uint32_t peer = 1; peer <= count; ++peer) {
            peers.recordHello(balancer(peer), { 1, version, true }, start);
        }
        return peers.readersBefore(start);
    };
    std::sort(order.begin(), order.end(),
        [&](std::uint32_t left, std::uint32_t right) { return readersBefore(left) < readersBefore(right); });
    const auto reference = [&](std::uint32_t self, const std::vector<BalancerState>& states) {
        PeerBalancers peers(balancer(self));
        BalancerState own;
        for (std::size_t index = 0; index < states.size(); ++index) {
            if (order[index] == self) {
                own = states[index];
            }
            peers.recordHello(balancer(order[index]), states[index], start);
        }
        REQUIRE(peers.isAnyDifferent(own, start));
        return peers.referencePeer(own, start);
    };
    const BalancerState reader { 1, version, true, 7 };
    const BalancerState other { 1, version, false, 7 };
    const BalancerState differentReader { 1, version, true, 8 };
    const BalancerState different { 1, version, false, 8 };
    // A balancer that does not read the store has a gap: it alone takes the first reader's entries.
    CHECK(reference(order[4], { reader, reader, reader, other, different }) == balancer(order[0]));
    CHECK_FALSE(reference(order[0], { reader, reader, reader, other, different }));
    CHECK_FALSE(reference(order[3], { reader, reader, reader, other, different }));
    // The first reader has one: the others differ from it until it has listed the store.
    CHECK(reference(order[1], { differentReader, reader, reader, other, other }) == balancer(order[0]));
    CHECK_FALSE(reference(order[0], { differentReader, reader, reader, other, other }));
    // The store answers nobody.
    CHECK(reference(order[0], { other, other, other, other, different }) == balancer(order[4]));
    CHECK(reference(order[4], { other, other, other, other, different }).has_value());
}

TEST_CASE("only live peers that state a digest for the same version count as different")
{
    PeerBalancers peers(balancer(1));
    const BalancerState own { 1, { 1, 50 }, true, 7, 3 };
    peers.recordHello(balancer(2), { 1, { 1, 50 }, true, 0, 3 }, start); // of an earlier version of the program
    peers.recordHello(balancer(3), { 1, { 1, 51 }, true, 8, 3 }, start);
    peers.recordHello(balancer(4), { 1, { 2, 50 }, true, 8, 4 }, start);
    CHECK_FALSE(peers.isAnyDifferent(own, start));
    CHECK(peers.peerWithNewerConfiguration(3, start) == balancer(4));
    CHECK_FALSE(peers.peerWithNewerConfiguration(4, start));
    peers.recordHello(balancer(5), { 1, { 1, 50 }, true, 8, 3 }, start);
    CHECK(peers.isAnyDifferent(own, start));
    CHECK_FALSE(peers.isAnyDifferent(own, start + seconds(2)));
}

// Guards against FLOW: a balancer that starts soon after the store has come back from a copy lists it before a running
// host has written its entry again, takes its hosts for all hosts, and resets the open flows of this host.
TEST_CASE("no balancer counts as current while a live peer waits for hosts to write their entries again")
{
    const auto back = start + seconds(4);
    const auto entry = [](const std::string& id) {
        return HostWritten { { id, "job", { 5, 8080 }, "zone", 2, false, {}, 1 }, 40 };
    };
    const auto list = [&](HostDirectory& directory, const std::vector<std::string>& ids, PeerBalancers::TimePoint now) {
        directory.beginListing(50);
        for (const std::string& id : ids) {
            directory.apply(entry(id), now);
        }
        directory.endListing(50, now);
    };
    HostDirectory peer;
    list(peer, { "a", "b" }, start);
    peer.beginEra(1, back);
    list(peer, { "a" }, back);
    HostDirectory started;
    started.beginEra(1, back);
    list(started, { "a" }, back);
    CHECK(peer.digest() == started.digest());
    PeerBalancers peers(balancer(1));
    const auto update = [&](PeerBalancers::TimePoint now) {
        peer.expire(now);
        peers.recordHello(balancer(2), { 1, peer.version(), true, peer.digest(), 3, {}, peer.awaitsHosts() }, now);
        started.setBehind(peers.isAnyAwaitingHosts(now));
    };
    update(back);
    CHECK_FALSE(started.isCurrent());
    update(back + HostDirectory::missingHostTimeout);
    CHECK(started.isCurrent());
}

// review/12 (DRAIN, CONFIG): the readers and the balancer after them in the order were turned away by the store in
// silence. The next one began to read it only when the calls of all of them had failed, which takes 3.5 s.
TEST_CASE("after a reader has lost the store, others read it until the remaining readers have had an answer")
{
    constexpr std::uint32_t count = 40;
    std::vector<std::uint32_t> order;
    const auto readersAt = [&](milliseconds time, const std::vector<std::uint32_t>& answered) {
        std::vector<std::uint32_t> readers;
        for (std::uint32_t self = 1; self <= count; ++self) {
            PeerBalancers peers(balancer(self));
            const auto record = [&](std::uint32_t peer, bool isAvailable, milliseconds age, milliseconds at) {
                peers.recordHello(balancer(peer), { 1, { 0, 50 }, isAvailable, 0, 0, age }, start + at);
            };
            for (std::uint32_t peer = 1; peer <= count; ++peer) {
                record(peer, true, milliseconds(900), milliseconds(0));
            }
            for (std::uint32_t peer = 1; peer <= count && time > milliseconds(0); ++peer) {
                const bool hasAnswer = std::find(answered.begin(), answered.end(), peer) != answered.end();
                const bool isLost = !order.empty() && peer == order.front();
                record(peer, !isLost, hasAnswer ? milliseconds(0) : milliseconds(1900), milliseconds(1000));
                record(peer, !isLost, hasAnswer ? milliseconds(50) : milliseconds(900) + time, time);
            }
            if (peers.isReader(start + time)) {
                readers.push_back(self);
            }
        }
        return readers;
    };
    const auto before = readersAt(milliseconds(0), {});
    REQUIRE(before.size() == PeerBalancers::maximumReaders);
    order.push_back(before.front());
    const auto after = readersAt(milliseconds(1050), {});
    // The lost one goes on trying; its two successors are doubled, and two more may be turned away as well.
    CHECK(after.size() > 2 * PeerBalancers::maximumReaders - 1);
    CHECK(after.size() <= 2 * PeerBalancers::maximumReaders + 1);
    for (const std::uint32_t reader : before) {
        CHECK(std::find(after.begin(), after.end(), reader) != after.end());
    }
    // Once the successors have had an answer, one more replaces the lost one.
    CHECK(readersAt(milliseconds(1100), after).size() == PeerBalancers::maximumReaders + 1);
    // The loss is long ago.
    CHECK(readersAt(milliseconds(5100), {}).size() == PeerBalancers::maximumReaders + 1);
}
