// Answers of the store and of peers that arrive out of order. Guards against an older answer that undoes newer state: a
// draining host that is used again, a removed host that comes back, or a live host that is taken for gone.

#include "app/DirectorySnapshot.h"
#include "platform/StoreDocuments.h"
#include "state/HostDirectory.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

const HostDirectory::TimePoint start { std::chrono::hours(1) };

HostWritten written(const std::string& id, std::uint64_t revision, bool draining = false)
{
    return { { id, "job", { 1, 8080 }, "zone", 2, draining, {}, 1 }, revision };
}

// A directory that has read the whole store up to a revision.
HostDirectory listed(const std::vector<HostWritten>& hosts, std::uint64_t revision)
{
    HostDirectory directory;
    directory.beginListing();
    for (const HostWritten& host : hosts) {
        directory.apply(host, start);
    }
    directory.endListing(revision, start);
    return directory;
}

const KnownHost* find(const HostDirectory& directory, const std::string& id)
{
    for (const KnownHost* host : directory.hosts()) {
        if (host->entry.id == id) {
            return host;
        }
    }
    return nullptr;
}

}

TEST_CASE("a late entry of a host is refused, and so is a late removal")
{
    HostDirectory directory = listed({ written("a", 5) }, 5);
    CHECK(directory.apply(written("a", 8, true), start) == HostDirectory::Effect::HostsChanged);
    CHECK(directory.apply(written("a", 7), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(find(directory, "a")->entry.draining);
    // A draining host would be removed at once.
    CHECK(directory.apply(HostRemoved { "a", false, 6 }, start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.apply(HostRemoved { "a", true, 6 }, start) == HostDirectory::Effect::RefusedOlder);
    REQUIRE(find(directory, "a"));
    CHECK_FALSE(find(directory, "a")->missingSince);
}

TEST_CASE("a late entry does not bring a removed host back")
{
    HostDirectory directory = listed({ written("a", 5, true), written("b", 6) }, 6);
    directory.apply(HostRemoved { "a", false, 9 }, start);
    directory.apply(HostRemoved { "b", false, 10 }, start);
    directory.advanceTo(10);
    CHECK(directory.apply(written("a", 7), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.apply(written("b", 8), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(find(directory, "b")->missingSince);
    CHECK(directory.expire(start + HostDirectory::missingHostTimeout));
    CHECK(directory.apply(written("b", 8), start) == HostDirectory::Effect::RefusedOlder);
    // A host that this process has never known, written and removed before the newer state.
    CHECK(directory.apply(written("c", 8), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(directory.hosts().empty());
    CHECK(directory.apply(written("b", 11), start) == HostDirectory::Effect::HostsChanged);
}

TEST_CASE("a host that has changed after a listing or a peer's state is not missing from it")
{
    HostDirectory directory = listed({ written("a", 5, true) }, 5);
    directory.apply(written("a", 9, true), start);
    directory.apply(written("b", 10, true), start);
    directory.beginListing();
    directory.endListing(8, start);
    CHECK(find(directory, "a"));
    CHECK(find(directory, "b"));
    directory.beginListing();
    directory.endListing(9, start);
    CHECK_FALSE(find(directory, "a"));
    CHECK(find(directory, "b"));
}

// Guards against FLOW: a balancer removes a draining host with open flows, or a running one that comes back only with
// the next change of its entry, because a peer's directory lacks it for no reason.
TEST_CASE("a host that only a peer's directory lacks is missing, and any later directory with its entry returns it")
{
    HostDirectory directory = listed({ written("a", 5), written("b", 6, true), written("c", 7, true) }, 7);
    directory.beginListing(std::nullopt, HostDirectory::Source::Peer);
    directory.listGoneHost("c");
    directory.endListing(9, start);
    CHECK(find(directory, "a"));
    CHECK(find(directory, "b"));
    CHECK_FALSE(find(directory, "c"));
    CHECK_FALSE(directory.isComplete());
    directory.beginListing();
    directory.apply(written("a", 5), start + milliseconds(500));
    directory.apply(written("b", 6, true), start + milliseconds(500));
    directory.endListing(9, start + milliseconds(500));
    directory.expire(start + HostDirectory::missingHostTimeout);
    CHECK(find(directory, "a"));
    CHECK(find(directory, "b"));
    CHECK(directory.isComplete());
}

// Guards against a difference between balancers that none of them notices, and against one that does not exist.
TEST_CASE("directories of the same entries have the same digest, in whatever order these arrived")
{
    HostDirectory byListing = listed({ written("a", 5), written("b", 6) }, 6);
    HostDirectory byChanges = listed({ written("b", 4), written("x", 3) }, 4);
    byChanges.apply(written("a", 5), start);
    byChanges.apply(HostRemoved { "x", false, 5 }, start);
    byChanges.apply(written("b", 6), start);
    byChanges.advanceTo(6);
    CHECK(byListing.digest() == byChanges.digest());
    CHECK(byListing.digest() != listed({ written("a", 5) }, 6).digest());
    CHECK(byListing.digest() != listed({ written("a", 5), written("b", 5) }, 6).digest());
    HostDirectory byPeer;
    const auto snapshot = decodeSnapshot(encodeSnapshot(byListing, start));
    REQUIRE(snapshot);
    byPeer.beginListing(snapshot->eraRevision, HostDirectory::Source::Peer);
    for (const DirectoryChange& change : snapshot->changes) {
        byPeer.apply(change, start);
    }
    byPeer.endListing(6, start);
    CHECK(byPeer.digest() == byListing.digest());
    byListing.apply(EvacuationChanged { "a", true, 7 }, start);
    CHECK(byPeer.digest() != byListing.digest());
}

// Guards against a live host that no listing can return to use, because its entry is older than the listing.
TEST_CASE("a listing contains hosts whose entries have not changed for long")
{
    HostDirectory directory = listed({ written("a", 5) }, 20);
    CHECK(find(directory, "a"));
    directory.beginListing();
    directory.apply(written("a", 5), start);
    directory.apply(written("b", 6), start);
    directory.endListing(30, start);
    CHECK(find(directory, "a"));
    CHECK(find(directory, "b"));
}

TEST_CASE("events of one watch answer are applied in the order of their revisions")
{
    // The value: {"service":"job","address":"10.1.0.1:80","zone":"a","slots":2,"state":"draining"}
    const auto answer = platform::parseWatchAnswer(
        R"({"events":[{"key":"servers/a","revision":9,"tombstone":true},{"key":"servers/a","value":)"
        R"("eyJzZXJ2aWNlIjoiam9iIiwiYWRkcmVzcyI6IjEwLjEuMC4xOjgwIiwiem9uZSI6ImEiLCJzbG90cyI6Miwic3RhdGUiOiJkcmFpbmluZyJ9")"
        R"(,"revision":8}],"store-revision":9})");
    HostDirectory directory = listed({}, 7);
    for (const DirectoryChange& change : answer.changes) {
        directory.apply(change, start);
    }
    CHECK(directory.hosts().empty());
}

namespace {

// A store with its history, and balancers that read it and each other's state. Answers arrive late and in any order
// that the protocol allows: each balancer has at most one call to the store and fetches from peers at any time.
class StoreHistory {
public:
    explicit StoreHistory(std::uint32_t seed)
        : random(seed)
    {
        for (Balancer& balancer : this->balancers) {
            balancer.directory = listed({}, 0);
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            this->step();
            for (const Balancer& balancer : this->balancers) {
                this->check(balancer);
            }
        }
        for (Balancer& balancer : this->balancers) {
            balancer.call.reset();
            balancer.listing = false;
            this->applyEvents(balancer, this->events(balancer.directory.revision(), this->revision()));
            balancer.directory.expire(this->now + HostDirectory::missingHostTimeout);
            for (std::size_t host = 0; host < hostCount; ++host) {
                const Change* last = this->lastChange(host, this->revision());
                const KnownHost* known = find(balancer.directory, name(host));
                CHECK((known != nullptr) == (last != nullptr && !last->removed));
            }
        }
    }

private:
    static constexpr std::size_t hostCount = 6;
    static constexpr std::size_t firstOfSecondPage = 3;

    struct Change {
        std::size_t host { 0 };
        bool removed { false };
        bool draining { false };
        std::uint64_t revision { 0 };
    };

    struct Answer {
        std::uint64_t revision { 0 };
        std::vector<DirectoryChange> changes;
    };

    struct Balancer {
        HostDirectory directory;
        std::optional<Answer> call; // an answer to a watch or to a page of a listing that has not arrived yet
        bool listing { false };
        std::optional<std::uint64_t> firstPage; // revision of the first page, once it has arrived
    };

    static std::string name(std::size_t host) { return "h" + std::to_string(host); }
    std::uint64_t revision() const { return this->history.size(); }
    std::uint64_t draw(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(this->random);
    }

    const Change* lastChange(std::size_t host, std::uint64_t upTo) const
    {
        const auto end = this->history.begin() + static_cast<std::ptrdiff_t>(upTo);
        const auto found = std::find_if(std::make_reverse_iterator(end), this->history.rend(),
            [&](const Change& change) { return change.host == host; });
        return found == this->history.rend() ? nullptr : &*found;
    }

    static DirectoryChange changeOf(const Change& change)
    {
        if (change.removed) {
            return HostRemoved { name(change.host), false, change.revision };
        }
        return written(name(change.host), change.revision, change.draining);
    }

    Answer events(std::uint64_t after, std::uint64_t upTo) const
    {
        Answer answer { upTo, {} };
        for (std::uint64_t index = after; index < upTo; ++index) {
            answer.changes.push_back(changeOf(this->history[index]));
        }
        return answer;
    }

    Answer page(std::size_t first, std::size_t last) const
    {
        Answer answer { this->revision(), {} };
        for (std::size_t host = first; host < last; ++host) {
            const Change* change = this->lastChange(host, this->revision());
            if (change != nullptr && !change->removed) {
                answer.changes.push_back(changeOf(*change));
            }
        }
        return answer;
    }

    void apply(Balancer& balancer, const std::vector<DirectoryChange>& changes)
    {
        for (const DirectoryChange& change : changes) {
            balancer.directory.apply(change, this->now);
        }
    }

    void applyEvents(Balancer& balancer, const Answer& answer)
    {
        this->apply(balancer, answer.changes);
        balancer.directory.advanceTo(answer.revision);
    }

    void changeStore()
    {
        const std::size_t host = this->draw(0, hostCount - 1);
        const Change* last = this->lastChange(host, this->revision());
        const bool exists = last != nullptr && !last->removed;
        const bool removed = exists && this->draw(0, 2) == 0;
        this->history.push_back({ host, removed, !removed && this->draw(0, 1) == 0, this->revision() + 1 });
    }

    void call(Balancer& balancer)
    {
        if (balancer.call) {
            const Answer answer = *std::exchange(balancer.call, std::nullopt);
            if (!balancer.listing) {
                this->applyEvents(balancer, answer);
            } else if (!balancer.firstPage) {
                balancer.directory.beginListing();
                this->apply(balancer, answer.changes);
                balancer.firstPage = answer.revision;
            } else {
                this->apply(balancer, answer.changes);
                balancer.directory.endListing(*balancer.firstPage, this->now);
                balancer.listing = false;
            }
            return;
        }
        if (!balancer.listing && this->draw(0, 4) == 0) {
            balancer.listing = true; // the store has dropped its history, or the process has started again
            balancer.firstPage.reset();
            if (this->draw(0, 1) == 0) {
                balancer.directory = HostDirectory();
            }
        }
        if (balancer.listing) {
            balancer.call
                = balancer.firstPage ? this->page(firstOfSecondPage, hostCount) : this->page(0, firstOfSecondPage);
        } else {
            const std::uint64_t after = balancer.directory.revision();
            balancer.call = this->events(after, this->draw(after, this->revision()));
        }
    }

    void fetch(Balancer& balancer, const Balancer& peer)
    {
        const auto snapshot = decodeSnapshot(encodeSnapshot(peer.directory, {}));
        REQUIRE(snapshot);
        if (snapshot->version.revision <= balancer.directory.revision()) {
            return;
        }
        balancer.directory.beginListing(snapshot->eraRevision, HostDirectory::Source::Peer);
        for (const std::string& host : snapshot->goneHosts) {
            balancer.directory.listGoneHost(host);
        }
        this->apply(balancer, snapshot->changes);
        balancer.directory.endListing(snapshot->version.revision, this->now);
        if (balancer.listing) {
            balancer.listing = false;
            balancer.call.reset();
        }
    }

    void step()
    {
        this->now += milliseconds(this->draw(0, 200));
        Balancer& balancer = this->balancers[this->draw(0, this->balancers.size() - 1)];
        switch (this->draw(0, 4)) {
        case 0:
        case 1:
            this->changeStore();
            break;
        case 2:
        case 3:
            this->call(balancer);
            break;
        default:
            this->fetch(balancer, this->balancers[this->draw(0, this->balancers.size() - 1)]);
        }
        balancer.directory.expire(this->now);
    }

    // What is known of each host is its state at the revision of the directory or later.
    void check(const Balancer& balancer) const
    {
        const std::uint64_t known = balancer.directory.revision();
        for (std::size_t index = 0; index < hostCount && known > 0; ++index) {
            CAPTURE(index);
            CAPTURE(known);
            const KnownHost* host = find(balancer.directory, name(index));
            if (host != nullptr && !host->missingSince) {
                REQUIRE(host->revision <= this->revision());
                const Change& change = this->history[host->revision - 1];
                CHECK(change.host == index);
                CHECK_FALSE(change.removed);
                CHECK(change.draining == host->entry.draining);
                const Change* last = this->lastChange(index, known);
                CHECK((last == nullptr || last->revision <= host->revision));
                continue;
            }
            bool absent = false;
            for (std::uint64_t at = known; at <= this->revision() && !absent; ++at) {
                const Change* last = this->lastChange(index, at);
                absent = last == nullptr || last->removed;
            }
            CHECK(absent);
        }
    }

    std::mt19937 random;
    HostDirectory::TimePoint now { start };
    std::vector<Change> history;
    std::array<Balancer, 3> balancers;
};

}

// review/2, with all paths by which state arrives: watches, pages of listings, removals, peers and restarts.
TEST_CASE("a directory is never older than its revision, in whatever order answers arrive")
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        StoreHistory(seed).run(300);
    }
}
