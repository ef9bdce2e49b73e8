#include "state/HostDirectory.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

const HostDirectory::TimePoint start { std::chrono::hours(1) };

RouteTableWritten routes(std::uint64_t version, const std::string& service)
{
    RouteTable table;
    table.version = version;
    table.routes[{ 1, 443 }].target = service;
    return { table };
}

HostEntry host(const std::string& id, std::uint32_t address, std::int64_t startedAt = 1)
{
    return { id, "job", { address, 8080 }, "zone", 2, false, {}, startedAt };
}

}

// Guards against a rollback of the configuration when the store or a peer answers with old state.
TEST_CASE("an older configuration is refused and the current one stays in force")
{
    HostDirectory directory;
    CHECK(directory.apply(routes(7, "job"), start) == HostDirectory::Effect::RoutesChanged);
    CHECK(directory.apply(routes(6, "drawing"), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.apply(routes(7, "drawing"), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.routes().version == 7);
    CHECK(directory.route({ 1, 443 })->target == RouteTarget("job"));
    CHECK(directory.route({ 1, 444 }) == nullptr);
}

// Guards against the removal of live hosts when their entries expire during a store outage.
TEST_CASE("a host whose entry expires stays in use for a grace period of 2.2 s")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("a", 1) }, start);
    CHECK(directory.apply(HostRemoved { "a", false }, start) == HostDirectory::Effect::None);
    CHECK_FALSE(directory.expire(start + milliseconds(2100)));
    CHECK(directory.hosts().size() == 1);
    SUBCASE("the host writes its entry again")
    {
        directory.apply(HostWritten { host("a", 1) }, start + milliseconds(2000));
        CHECK_FALSE(directory.expire(start + milliseconds(5000)));
    }
    SUBCASE("the host does not write its entry again")
    {
        CHECK(directory.expire(start + milliseconds(2200)));
        CHECK(directory.hosts().empty());
    }
}

// Guards against new flows for a host that has shut down as planned.
TEST_CASE("a draining host is removed as soon as its entry is removed")
{
    HostDirectory directory;
    HostEntry entry = host("a", 1);
    entry.draining = true;
    directory.apply(HostWritten { entry }, start);
    CHECK(directory.apply(HostRemoved { "a", false }, start) == HostDirectory::Effect::HostsChanged);
    CHECK(directory.hosts().empty());
}

// Guards against a stale entry after an address has been reassigned that precedes the one of the new owner, and against
// one that is not kept (EntriesOfOneMachineTest: which of them is in use).
TEST_CASE("of several entries with the same address the newest lifetime is the first")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("old", 1, 100) }, start);
    HostEntry next = host("new", 1, 200);
    next.service = "drawing";
    directory.apply(HostWritten { next }, start);
    REQUIRE(directory.hosts().size() == 2);
    CHECK(directory.hosts().front()->entry.service == "drawing");
    CHECK(directory.hosts().back()->entry.id == "old");
}

// Guards against a delayed entry that a host wrote before its restart under the same id.
TEST_CASE("the entry of an earlier lifetime is refused when it arrives late")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("a", 1, 200), 9 }, start);
    CHECK(directory.apply(HostWritten { host("a", 1, 50), 8 }, start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.hosts().front()->entry.startedAtMs == 200);
}

// review/3 (DRAIN): after the clock of its machine was stepped back, a restarted host's entries were all refused, its
// report that it is draining among them.
TEST_CASE("a host whose clock was stepped back between two starts is followed")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("a", 1, 2400), 5 }, start);
    CHECK(directory.apply(HostWritten { host("a", 1, 500), 6 }, start) == HostDirectory::Effect::HostsChanged);
    HostEntry draining = host("a", 1, 500);
    draining.draining = true;
    CHECK(directory.apply(HostWritten { draining, 7 }, start) == HostDirectory::Effect::HostsChanged);
    CHECK(directory.hosts().front()->entry.draining);
    // The same for a host that starts again under another id.
    directory.apply(HostWritten { host("b", 1, 100), 8 }, start);
    CHECK(directory.hosts().front()->entry.id == "b");
}

// Guards against hosts that stay in use although a full listing no longer contains them.
TEST_CASE("a host missing from a listing is removed after the same grace period")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("a", 1) }, start);
    directory.apply(HostWritten { host("b", 2) }, start);
    directory.beginListing();
    directory.apply(HostWritten { host("b", 2) }, start);
    directory.endListing(0, start);
    CHECK(directory.hosts().size() == 2);
    CHECK(directory.expire(start + HostDirectory::missingHostTimeout));
    REQUIRE(directory.hosts().size() == 1);
    CHECK(directory.hosts().front()->entry.id == "b");
}

// Guards against a malformed entry of another writer that would hide valid entries.
TEST_CASE("a malformed entry adds no host and is reported")
{
    HostDirectory directory;
    directory.apply(HostWritten { host("a", 1) }, start);
    CHECK(directory.apply(HostRemoved { "x", true }, start) == HostDirectory::Effect::RefusedMalformed);
    CHECK(directory.hosts().size() == 1);
}

// Guards against open flows on removed routes that are left waiting, and against unbounded memory of such routes.
TEST_CASE("a removed route is remembered for the lifetime of a flow")
{
    HostDirectory directory;
    directory.apply(routes(1, "job"), start);
    CHECK_FALSE(directory.isRemovedRoute({ 1, 443 }));
    directory.apply(RouteTableWritten { { 2, {}, {}, milliseconds(15000) } }, start);
    CHECK(directory.isRemovedRoute({ 1, 443 }));
    SUBCASE("the route is added again")
    {
        directory.apply(routes(3, "job"), start);
        CHECK_FALSE(directory.isRemovedRoute({ 1, 443 }));
    }
    SUBCASE("the lifetime has passed")
    {
        directory.expire(start + milliseconds(60000));
        CHECK(directory.isRemovedRoute({ 1, 443 }));
        directory.expire(start + milliseconds(60001));
        CHECK_FALSE(directory.isRemovedRoute({ 1, 443 }));
    }
}

// Guards against open flows that are taken for lost while their host's entry is missing.
TEST_CASE("a directory is complete once the store has been read and while no host is missing")
{
    HostDirectory directory;
    directory.beginListing();
    directory.apply(HostWritten { host("a", 1) }, start);
    CHECK_FALSE(directory.isComplete());
    directory.endListing(0, start);
    CHECK(directory.isComplete());
    directory.apply(HostRemoved { "a", false }, start);
    CHECK_FALSE(directory.isComplete());
    directory.expire(start + HostDirectory::missingHostTimeout);
    CHECK(directory.isComplete());
}
