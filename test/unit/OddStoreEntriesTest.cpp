#include "app/DirectorySnapshot.h"
#include "platform/JsonText.h"
#include "platform/StoreDocuments.h"
#include "state/HostDirectory.h"
#include "state/RefusedEntries.h"
#include "support/UserError.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <google/protobuf/stubs/strutil.h>
#include <string>
#include <utility>
#include <vector>

using namespace chicoryferry;
using namespace chicoryferry::platform;

namespace {

std::string encode(const std::string& value)
{
    std::string encoded;
    google::protobuf::Base64Escape(value, &encoded);
    return encoded;
}

std::string hostValue(const std::string& extra = "", const std::string& address = "10.128.0.9:8080")
{
    return fmt::format(R"({{"service":"job","address":"{}","zone":"a","slots":2,"state":"ready"{}}})", address, extra);
}

std::string itemText(const std::string& key, const std::string& value)
{
    return fmt::format(R"({{"key":"{}","value":"{}","revision":3,"lease":0}})", key, encode(value));
}

std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

const std::string configuration
    = R"({"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/443/","service":"job"}]})";

// Items of the store that nobody can use.
const std::vector<std::string> oddItems {
    "7",
    "null",
    "\"text\"",
    "[]",
    "{}",
    R"({"value":"eA==","revision":3})",
    R"({"key":12,"value":"eA=="})",
    R"({"key":null,"value":"eA=="})",
    R"({"key":"servers/odd","value":12})",
    R"({"key":"servers/odd","value":null})",
    R"({"key":"servers/odd"})",
    R"({"key":"servers/odd","value":"***"})",
    R"({"key":"servers/odd","value":"eA==","revision":1e400})",
    R"({"key":"servers/odd","value":"eA==","revision":99999999999999999999999999})",
    R"({"key":"servers/odd","extra":)" + nested(100000) + "}",
    itemText("servers/odd", nested(1000000)),
    itemText("servers/odd", hostValue(R"(,"extra":)" + nested(17))),
    itemText("servers/odd", hostValue(R"(,"extra":")" + std::string(20000, 'x') + "\"")),
    itemText("servers/odd", hostValue(R"(,"extra":1e400)")),
    itemText("servers/odd", hostValue(R"(,"born":18446744073709551615)")),
    itemText("servers/odd", hostValue(R"(,"born":-1)")),
    itemText("servers/odd", hostValue(R"(,"born":1e400)")),
    itemText("servers/odd", hostValue(R"(,"cold-remaining-ms":"soon")")),
    itemText("servers/odd", hostValue("", "10.128.0.9:0")),
    itemText("servers/odd", hostValue("", "10.128.0.9:65536")),
    itemText("servers/odd", hostValue("", "10.128.0.9:-1")),
    itemText("servers/odd", hostValue("", "0.0.0.0:8080")),
    itemText("servers/odd", "\xff\xfe"),
    itemText("op/config", "{}"),
    itemText("op/config", R"({"version":1e400,"routes":[]})"),
    itemText("op/config", R"({"version":-3,"routes":[]})"),
    itemText("op/config", R"({"version":9,"routes":[{"hostname":"198.18.0.1","prefix":"/443/"}]})"),
    itemText("op/config", R"({"version":9,"routes":)" + nested(1000000) + "}"),
};

std::string listing(const std::vector<std::string>& items, bool truncated = false)
{
    return fmt::format(R"({{"items":[{}],"truncated":{},"store-revision":9}})", fmt::join(items, ","), truncated);
}

// The directory after a listing.
HostDirectory read(const StoreAnswer& answer)
{
    HostDirectory directory;
    for (const DirectoryChange& change : answer.changes) {
        directory.apply(change, {});
    }
    return directory;
}

}

// Guards against one odd entry of another writer that loses the whole answer: no host, no configuration and no later
// change is then read until somebody removes the entry (reported by operators of similar systems).
TEST_CASE("an odd item costs only itself, wherever it stands in an answer")
{
    for (const std::string& odd : oddItems) {
        CAPTURE(odd.substr(0, 120));
        const std::vector<std::string> good { itemText("op/config", configuration),
            itemText("servers/a", hostValue()) };
        for (std::size_t position = 0; position <= good.size(); ++position) {
            std::vector<std::string> items = good;
            items.insert(items.begin() + static_cast<std::ptrdiff_t>(position), odd);
            const StoreAnswer answer = parseListAnswer(listing(items));
            CHECK(answer.revision == 9);
            const HostDirectory directory = read(answer);
            CHECK(directory.routes().version == 7);
            REQUIRE(directory.hosts().size() == 1);
            CHECK(directory.hosts().front()->entry.id == "a");
            const StoreAnswer events
                = parseWatchAnswer(fmt::format(R"({{"events":[{}],"store-revision":9}})", fmt::join(items, ",")));
            CHECK(read(events).hosts().size() == 1);
        }
    }
}

// Guards against odd entries that nobody is told of.
TEST_CASE("each odd item is reported as refused")
{
    for (const std::string& odd : oddItems) {
        CAPTURE(odd.substr(0, 120));
        const StoreAnswer answer = parseListAnswer(listing({ odd }));
        REQUIRE(answer.changes.size() == 1);
        HostDirectory directory;
        CHECK(directory.apply(answer.changes.front(), {}) == HostDirectory::Effect::RefusedMalformed);
    }
}

// Guards against a listing that repeats one page for ever, or that removes hosts on pages it has not read.
TEST_CASE("the next page of a listing begins after the last readable key")
{
    CHECK(parseListAnswer(listing({ itemText("servers/a", hostValue()), "7" }, true)).nextAfter == "servers/a");
    const StoreAnswer odd = parseListAnswer(listing({ "7", "null" }, true));
    CHECK(odd.nextAfter.empty());
    CHECK(odd.incomplete);
    CHECK_FALSE(parseListAnswer(listing({ "7" })).incomplete);
}

// Guards against a key that changes the meaning of the request for the next page.
TEST_CASE("keys are percent-encoded in request targets")
{
    CHECK(listTarget("servers/a-1") == "/v1/kv-range?prefix=&after=servers/a-1");
    CHECK(
        listTarget("a b&prefix=x\r\n%#\xc3\xa4") == "/v1/kv-range?prefix=&after=a%20b%26prefix%3Dx%0D%0A%25%23%C3%A4");
}

// Guards against an answer that is cut off or of another form and would be taken for an empty store.
TEST_CASE("an answer that is not of the expected form is refused as a whole")
{
    for (const char* body : { "", "[]", "{", "}", "{}}", R"({"items":[]})", R"({"items":[],"store-revision":-1})",
             R"({"items":[],"store-revision":1e3})", R"({"items":{},"store-revision":1})",
             R"({"items":[{],"store-revision":1})", R"({"store-revision":1})", R"({items:[],"store-revision":1})",
             R"({"items":[],"store-revision":99999999999999999999})" }) {
        CAPTURE(body);
        CHECK_THROWS_AS(parseListAnswer(body), UserError);
    }
}

// Guards against brackets, commas and quotation marks inside strings that would split an item.
TEST_CASE("JSON texts are split outside of strings only")
{
    const auto parts = splitJsonArray(R"( [ "a,]\"", {"b":[1,2]} , 3 ] )");
    REQUIRE(parts);
    CHECK(*parts == std::vector<std::string_view> { R"("a,]\"")", R"({"b":[1,2]})", "3" });
    const auto members = splitJsonObject(R"({"a:\\" : "x:y", "b":{"c":1}})");
    REQUIRE(members);
    CHECK(*members == std::vector<JsonMember> { { R"(a:\\)", R"("x:y")" }, { "b", R"({"c":1})" } });
    CHECK(splitJsonArray("[]")->empty());
    CHECK_FALSE(isNestedDeeperThan(nested(16), 16));
    CHECK(isNestedDeeperThan(nested(17), 16));
    CHECK_FALSE(isNestedDeeperThan('"' + std::string(100, '[') + '"', 16));
}

// Guards against a host that stays in use although its entry no longer says so, and against its removal by one odd
// write that its next entry corrects.
TEST_CASE("a host whose own entry becomes malformed is treated like one whose entry has gone")
{
    HostDirectory directory = read(parseListAnswer(listing({ itemText("servers/a", hostValue()) })));
    const HostDirectory::TimePoint start;
    CHECK(directory.apply(HostRemoved { "a", true, 4 }, start) == HostDirectory::Effect::RefusedMalformed);
    CHECK(directory.hosts().size() == 1);
    CHECK(directory.expire(start + HostDirectory::missingHostTimeout));
    CHECK(directory.hosts().empty());
}

// Guards against log lines that repeat with every listing, and against unbounded memory for entries of other writers.
TEST_CASE("the refusal of an entry is logged once until the entry is readable again")
{
    RefusedEntries entries;
    CHECK(entries.record("a"));
    CHECK_FALSE(entries.record("a"));
    entries.erase("a");
    CHECK(entries.record("a"));
    for (std::size_t number = 1; number < RefusedEntries::maximumEntries; ++number) {
        CHECK(entries.record(std::to_string(number)));
    }
    CHECK_FALSE(entries.record("one more"));
}

// Guards against an entry that a balancer refuses itself and takes from a peer.
TEST_CASE("a snapshot with a host that no entry can describe is refused")
{
    const auto snapshotOf = [](const HostEntry& entry) {
        HostDirectory directory;
        directory.apply(HostWritten { entry }, {});
        return decodeSnapshot(encodeSnapshot(directory, {}));
    };
    const HostEntry good { "i-1", "job", { 5, 8080 }, "zone", 3, false, {}, 77 };
    CHECK(snapshotOf(good));
    HostEntry withoutPort = good;
    withoutPort.address.port = 0;
    CHECK_FALSE(snapshotOf(withoutPort));
    HostEntry withoutSlots = good;
    withoutSlots.slots = 0;
    CHECK_FALSE(snapshotOf(withoutSlots));
}
