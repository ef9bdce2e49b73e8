#include "app/Settings.h"
#include "support/UserError.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

std::vector<std::string> soundArguments()
{
    return { "--instance", "job-1", "--availability-zone", "dar-1", "--platform", "http://127.0.0.1:9000" };
}

std::string refusalOf(const std::vector<std::string>& extra)
{
    std::vector<std::string> arguments = soundArguments();
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    try {
        parseSettings("balancer", arguments);
    } catch (const UserError& error) {
        return error.what();
    }
    return "";
}

}

// Guards against a flag that silently loses to the environment, or the reverse.
TEST_CASE("a flag wins over the environment, which wins over the default")
{
    CHECK(parseSettings("balancer", soundArguments()).logLevel == LogLevel::Info);
    setenv("CHICORYFERRY_LOG_LEVEL", "error", 1);
    CHECK(parseSettings("balancer", soundArguments()).logLevel == LogLevel::Error);
    auto arguments = soundArguments();
    arguments.insert(arguments.end(), { "--log-level", "debug" });
    CHECK(parseSettings("balancer", arguments).logLevel == LogLevel::Debug);
    unsetenv("CHICORYFERRY_LOG_LEVEL");
}

// Guards P10: a refusal must name the flag, the value and what is accepted.
TEST_CASE("a bad, unknown or missing setting is refused with its name, value and what is accepted")
{
    const std::string badValue = refusalOf({ "--data-address", "localhost" });
    CHECK(badValue.find("--data-address") != std::string::npos);
    CHECK(badValue.find("'localhost'") != std::string::npos);
    CHECK(badValue.find("a.b.c.d:port") != std::string::npos);
    CHECK(refusalOf({ "--speed", "9" }).find("--speed") != std::string::npos);
    CHECK(refusalOf({ "--incarnation", "-1" }).find("whole number") != std::string::npos);
    CHECK_THROWS_WITH_AS(parseSettings("balancer", {}), doctest::Contains("--instance"), UserError);
    CHECK_THROWS_WITH_AS(parseSettings("agent", soundArguments()), doctest::Contains("--fabric-address"), UserError);
    setenv("CHICORYFERRY_INCARNATION", "many", 1);
    CHECK(refusalOf({}).find("CHICORYFERRY_INCARNATION") != std::string::npos);
    unsetenv("CHICORYFERRY_INCARNATION");
}

// Guards against durations read in the wrong unit.
TEST_CASE("durations carry their unit")
{
    auto arguments = soundArguments();
    arguments.insert(arguments.end(),
        { "--fabric-address", "127.0.0.1:1", "--backend-server", "127.0.0.1:2", "--drain-limit", "90s" });
    CHECK(parseSettings("agent", arguments).drainLimit == std::chrono::seconds(90));
    arguments.back() = "90";
    CHECK_THROWS_AS(parseSettings("agent", arguments), UserError);
}
