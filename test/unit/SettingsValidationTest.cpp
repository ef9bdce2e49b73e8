#include "app/Settings.h"
#include "support/UserError.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

std::vector<std::string> validArguments()
{
    return { "--instance", "job-1", "--availability-zone", "dar-1", "--platform", "http://127.0.0.1:9000" };
}

std::string errorMessageFor(const std::vector<std::string>& extra)
{
    std::vector<std::string> arguments = validArguments();
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    try {
        parseSettings("balancer", arguments);
    } catch (const UserError& error) {
        return error.what();
    }
    return "";
}

}

// Guards against a wrong precedence of flags, environment variables and defaults.
TEST_CASE("a flag overrides the environment, which overrides the default")
{
    CHECK(parseSettings("balancer", validArguments()).logLevel == LogLevel::Info);
    setenv("CHICORYFERRY_LOG_LEVEL", "error", 1);
    CHECK(parseSettings("balancer", validArguments()).logLevel == LogLevel::Error);
    auto arguments = validArguments();
    arguments.insert(arguments.end(), { "--log-level", "debug" });
    CHECK(parseSettings("balancer", arguments).logLevel == LogLevel::Debug);
    unsetenv("CHICORYFERRY_LOG_LEVEL");
}

// Guarantee P10 of docs/promises.md: invalid input is refused. Guards against an error message that does not name the
// flag, its value and the accepted form.
TEST_CASE("a bad value is refused with its setting and accepted form, an unknown or missing setting with its name")
{
    const std::string badValue = errorMessageFor({ "--data-address", "localhost" });
    CHECK(badValue.find("--data-address") != std::string::npos);
    CHECK(badValue.find("'localhost'") != std::string::npos);
    CHECK(badValue.find("a.b.c.d:port") != std::string::npos);
    CHECK(errorMessageFor({ "--speed", "9" }).find("--speed") != std::string::npos);
    CHECK(errorMessageFor({ "--incarnation", "-1" }).find("whole number") != std::string::npos);
    CHECK_THROWS_WITH_AS(parseSettings("balancer", {}), doctest::Contains("--instance"), UserError);
    CHECK_THROWS_WITH_AS(parseSettings("agent", validArguments()), doctest::Contains("--fabric-address"), UserError);
    setenv("CHICORYFERRY_INCARNATION", "many", 1);
    CHECK(errorMessageFor({}).find("CHICORYFERRY_INCARNATION") != std::string::npos);
    unsetenv("CHICORYFERRY_INCARNATION");
}

// Guards against durations read in the wrong unit.
TEST_CASE("a duration requires a unit")
{
    auto arguments = validArguments();
    arguments.insert(arguments.end(),
        { "--fabric-address", "127.0.0.1:1", "--backend-server", "127.0.0.1:2", "--drain-limit", "90s" });
    CHECK(parseSettings("agent", arguments).drainLimit == std::chrono::seconds(90));
    arguments.back() = "90";
    CHECK_THROWS_AS(parseSettings("agent", arguments), UserError);
}
