// Runs a store reader in the test process against the store stand-in, with a clock that the test moves on.

#include "app/StoreReader.h"
#include "StoreStandin.h"
#include "state/HostDirectory.h"
#include "support/EventLog.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <functional>
#include <string>
#include <unistd.h>

using namespace chicoryferry;
using namespace chicoryferry::integration;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

class ReadStore {
public:
    // Runs the reader until the condition holds, for at most five seconds. Returns whether it holds.
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->reader.tick(std::chrono::steady_clock::now() + this->elapsed);
            this->loop.runOnce(milliseconds(5));
        }
        return condition();
    }

    // The text of an item of the host, which is ready.
    static std::string item(std::uint64_t revision)
    {
        // The value: {"service":"job","address":"10.1.0.1:80","zone":"a","slots":2,"state":"ready"}
        return fmt::format(
            R"({{"key":"servers/i-1","value":"eyJzZXJ2aWNlIjoiam9iIiwiYWRkcmVzcyI6IjEwLjEuMC4xOjgwIiwiem9uZSI6ImEi)"
            R"(LCJzbG90cyI6Miwic3RhdGUiOiJyZWFkeSJ9","revision":{}}})",
            revision);
    }

    void writeHost(const std::string& state, int coldRemainingMs)
    {
        this->store.write("servers/i-1",
            fmt::format(R"({{"service":"job","address":"10.1.0.1:80","zone":"a","slots":2,"state":"{}",)"
                        R"("cold-remaining-ms":{},"seq":1,"born":1}})",
                state, coldRemainingMs));
    }

    bool isDraining() const
    {
        return !this->directory.hosts().empty() && this->directory.hosts().front()->isDraining();
    }

    // A loopback address of this test process, like those of NodeProcessesTest.
    Endpoint address { 0x7F400000U + ((static_cast<std::uint32_t>(getpid()) & 0x3FFFU) << 8U) + 9, 8169 };
    StoreStandin store { this->address };
    EventLoop loop;
    HostDirectory directory;
    EventLog log { "reader", open("/dev/null", O_WRONLY | O_CLOEXEC) };
    Metrics metrics;
    StoreReader reader { this->address, this->loop, this->directory, this->log, this->metrics, 1, [] {},
        [](const Endpoint&) {} };
    std::chrono::steady_clock::duration elapsed { 0 }; // added to the time that the reader sees
};

}

// Guards against a draining host that stays in use, since a false revision has hidden the change and the store's
// revisions have passed it before the next call.
TEST_CASE("the listing every five minutes shows what a false revision has hidden [DRAIN]")
{
    ReadStore test;
    test.writeHost("ready", 0);
    test.store.keepCopy();
    for (int change = 1; change <= 8; ++change) {
        test.writeHost("ready", 100 * change);
    }
    REQUIRE(test.runUntil([&] { return test.directory.revision() == 9; }));
    test.store.setDown(true);
    REQUIRE(test.runUntil([&] { return !test.reader.available(); }));
    test.store.restoreCopy(false);
    test.writeHost("draining", 0);
    for (int change = 0; change < 20; ++change) {
        test.store.write("padding", "x");
    }
    test.store.setDown(false);
    REQUIRE(test.runUntil([&] { return test.directory.revision() == 22; }));
    CHECK_FALSE(test.isDraining());
    test.elapsed = minutes(6);
    CHECK(test.runUntil([&] { return test.isDraining(); }));
    CHECK(test.directory.version().correction == 1);
}

// Guards against an odd entry that stays in the store, contradicts another one, and keeps a reader from ending a
// listing.
TEST_CASE("a listing with two items of one host is ended [LOST]")
{
    ReadStore test;
    test.store.write("padding", "x");
    test.store.writeItem("servers/i-1", ReadStore::item(2));
    test.store.writeItem("servers/i-1-odd", ReadStore::item(1));
    CHECK(test.runUntil([&] { return test.directory.revision() == 3; }));
    CHECK(test.directory.hosts().size() == 1);
    test.elapsed = minutes(6);
    test.store.write("padding", "y");
    CHECK(test.runUntil([&] { return test.directory.revision() == 4 && test.directory.isListed(); }));
    CHECK(test.directory.version().correction <= 1);
}
