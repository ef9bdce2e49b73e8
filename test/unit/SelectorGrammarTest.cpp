#include "protocol/Selector.h"
#include "support/UserError.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace chicoryferry;

namespace {

using Labels = std::map<std::string, std::string>;

bool selects(const std::string& selector, const Labels& labels) { return Selector::parse(selector).matches(labels); }

}

// Guards against a selector that matches hosts its text does not describe.
TEST_CASE("each form of requirement matches the label sets that it describes")
{
    const Labels labels { { "service", "job" }, { "tier", "a" }, { "input", "" } };
    CHECK(selects("", labels));
    CHECK(selects("service=job", labels));
    CHECK(selects("service == job", labels));
    CHECK_FALSE(selects("service=drawing", labels));
    CHECK(selects("service!=drawing", labels));
    CHECK(selects("zone!=x", labels));
    CHECK(selects("tier in (a, b)", labels));
    CHECK_FALSE(selects("tier notin (a,b)", labels));
    CHECK(selects("zone notin (a)", labels));
    CHECK(selects("tier", labels));
    CHECK(selects("input", labels));
    CHECK_FALSE(selects("zone", labels));
    CHECK(selects("!zone", labels));
    CHECK_FALSE(selects("!tier", labels));
    CHECK(selects("service=job,tier in (a),!quarantined", labels));
    CHECK_FALSE(selects("service=job,tier in (b),!quarantined", labels));
}

// Guards against a typing error that is parsed as a different selector.
TEST_CASE("a malformed selector is refused")
{
    for (const char* text : { "service=", "=job", "tier in", "tier in (", "tier in (a", "tier in ()", "a b", "a,,b",
             "a,", "!", "a=b=c", "a in b", "a notin (b", "\n", "a=\"b\"" }) {
        CAPTURE(text);
        CHECK_THROWS_AS(Selector::parse(text), UserError);
    }
}

// Guards against crashes and hangs on arbitrary input.
TEST_CASE("arbitrary text is either parsed or refused")
{
    CHECK(rc::check("selector text", [](const std::string& text) {
        try {
            Selector::parse(text).matches({ { "a", "b" } });
        } catch (const UserError&) {
            RC_SUCCEED("refused");
        }
    }));
}
