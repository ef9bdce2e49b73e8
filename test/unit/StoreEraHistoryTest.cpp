// A store that comes back from older copies, again and again, and balancers that read it or each other's state at any
// time. Guards against FLOW and DRAIN: a running host that a balancer forgets, a host that drains and is used again,
// and balancers that differ once all have the same version of the store.

#include "app/DirectorySnapshot.h"
#include "state/HostDirectory.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class RestoredStore {
public:
    using TimePoint = HostDirectory::TimePoint;

    explicit RestoredStore(std::uint32_t seed)
        : random(seed)
    {
        this->write(this->hosts.front());
        this->keepCopy();
    }

    void run()
    {
        for (int step = 0; step < 400; ++step) {
            this->now += milliseconds(this->draw(0, 150));
            this->step();
            this->checkAll();
        }
        // All balancers read the store's last version: one from the store, the others from it.
        this->settle();
        this->read(this->balancers[0]);
        for (HostDirectory& balancer : this->balancers) {
            this->take(balancer, this->balancers[0]);
        }
        this->now += seconds(5);
        for (HostDirectory& balancer : this->balancers) {
            balancer.expire(this->now);
            CHECK(balancer.digest() == this->balancers[0].digest());
            CHECK(balancer.isComplete());
            CHECK(balancer.hosts().size() == this->entries.size());
        }
    }

private:
    static constexpr std::size_t hostCount = 5;
    // A running host has written its entry again this long after the store's return, and each balancer reads the store
    // that often. Both together take less than HostDirectory::missingHostTimeout.
    static constexpr milliseconds rewriteBound { 1500 };
    static constexpr milliseconds readInterval { 500 };

    struct Host {
        std::string id;
        bool started { false };
        bool draining { false };
        std::optional<TimePoint> rewriteAt = std::nullopt;
    };

    struct Entry {
        bool draining { false };
        std::uint64_t revision { 0 };
    };

    std::uint64_t draw(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(this->random);
    }

    void write(Host& host)
    {
        host.started = true;
        this->entries[host.id] = { host.draining, ++this->revision };
    }

    void keepCopy()
    {
        this->copy = this->entries;
        this->copyRevision = this->revision;
    }

    static HostWritten change(const std::string& id, const Entry& entry)
    {
        return { { id, "job", { static_cast<std::uint32_t>(id.back()), 8080 }, "zone", 2, entry.draining, {}, 1 },
            entry.revision };
    }

    void comeBack()
    {
        this->entries = this->copy;
        this->revision = this->copyRevision;
        ++this->era;
        for (Host& host : this->hosts) {
            const auto entry = this->entries.find(host.id);
            host.rewriteAt.reset();
            if (host.started && (entry == this->entries.end() || entry->second.draining != host.draining)) {
                host.rewriteAt = this->now + milliseconds(this->draw(0, rewriteBound.count()));
            }
        }
    }

    void rewrite()
    {
        for (Host& host : this->hosts) {
            if (host.rewriteAt && *host.rewriteAt <= this->now) {
                host.rewriteAt.reset();
                this->write(host);
            }
        }
    }

    void settle()
    {
        this->now += rewriteBound;
        this->rewrite();
    }

    // Lists the store, which stands for a watch, too.
    void read(HostDirectory& balancer)
    {
        if (this->era > balancer.storeEra()) {
            balancer.beginEra(this->era, this->now);
        }
        balancer.beginListing(this->revision);
        for (const auto& [id, entry] : this->entries) {
            balancer.apply(change(id, entry), this->now);
        }
        balancer.endListing(this->revision, this->now);
    }

    void take(HostDirectory& balancer, const HostDirectory& peer)
    {
        const auto snapshot = decodeSnapshot(encodeSnapshot(peer, this->now));
        REQUIRE(snapshot);
        if (snapshot->version <= balancer.versionBegun()) {
            return;
        }
        balancer.follow(snapshot->version, this->now);
        balancer.beginListing(snapshot->eraRevision, HostDirectory::Source::Peer);
        for (const std::string& id : snapshot->goneHosts) {
            balancer.listGoneHost(id);
        }
        for (const DirectoryChange& item : snapshot->changes) {
            balancer.apply(item, this->now);
        }
        if (snapshot->incomplete) {
            balancer.markIncomplete(this->now);
        }
        balancer.endListing(snapshot->version.revision, this->now);
    }

    void step()
    {
        this->rewrite();
        const std::size_t drawn = this->draw(0, this->balancers.size() - 1);
        HostDirectory& balancer = this->balancers[drawn];
        switch (this->draw(0, 9)) {
        case 0:
            if (this->draw(0, 3) == 0) {
                this->comeBack();
            }
            break;
        case 1:
            if (this->draw(0, 3) == 0) {
                this->keepCopy();
            }
            break;
        case 2: { // a host starts or drains
            Host& host = this->hosts[this->draw(0, hostCount - 1)];
            if (!host.rewriteAt && this->draw(0, 1) == 0) {
                host.draining = host.started;
                this->write(host);
            }
            break;
        }
        case 3: // starts again
            if (this->draw(0, 3) == 0) {
                balancer = HostDirectory();
                this->known[drawn].clear();
                this->knownDraining[drawn].clear();
            }
            break;
        case 4:
        case 5:
        case 6:
            this->take(balancer, this->balancers[this->draw(0, this->balancers.size() - 1)]);
            break;
        default:
            this->read(balancer);
        }
        for (std::size_t index = 0; index < this->balancers.size(); ++index) {
            if (this->now - this->lastRead[index] >= readInterval) {
                this->lastRead[index] = this->now;
                this->read(this->balancers[index]);
            }
            this->balancers[index].expire(this->now);
        }
    }

    // A balancer that has once read the entry of a running host never forgets the host, nor that it drains.
    void checkAll()
    {
        for (std::size_t index = 0; index < this->balancers.size(); ++index) {
            const HostDirectory& balancer = this->balancers[index];
            std::set<std::string>& seen = this->known[index];
            std::set<std::string>& draining = this->knownDraining[index];
            std::set<std::string> ids;
            for (const KnownHost* host : balancer.hosts()) {
                ids.insert(host->entry.id);
                CAPTURE(host->entry.id);
                CHECK((host->isDraining() || !draining.contains(host->entry.id)));
                if (host->isDraining()) {
                    draining.insert(host->entry.id);
                }
            }
            for (const std::string& id : seen) {
                CAPTURE(id);
                CAPTURE(index);
                CHECK(ids.contains(id));
            }
            seen = ids;
        }
    }

    std::mt19937 random;
    TimePoint now { std::chrono::hours(1) };
    std::array<Host, hostCount> hosts { { { "h1" }, { "h2" }, { "h3" }, { "h4" }, { "h5" } } };
    std::map<std::string, Entry> entries;
    std::uint64_t revision { 0 };
    std::uint64_t era { 0 };
    std::map<std::string, Entry> copy;
    std::uint64_t copyRevision { 0 };
    std::array<HostDirectory, 4> balancers;
    std::array<TimePoint, 4> lastRead;
    std::array<std::set<std::string>, 4> known;
    std::array<std::set<std::string>, 4> knownDraining;
};

}

TEST_CASE("no balancer forgets a running host, however often the store comes back from a copy")
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RestoredStore(seed).run();
    }
}
