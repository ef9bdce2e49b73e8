#include "coordination/ReportRecipients.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

Endpoint balancer(std::uint32_t number) { return { 0x0A000000 + number, 7720 }; }

std::size_t recipientsAmong(const ReportRecipients& recipients, std::uint32_t balancers)
{
    std::size_t count = 0;
    for (std::uint32_t number = 0; number < balancers; ++number) {
        count += recipients.contains(balancer(number)) ? 1 : 0;
    }
    return count;
}

}

// Guards against reports that grow with the number of balancers times the number of requests.
TEST_CASE("the number of balancers that learn of each change at once does not grow with the fleet")
{
    for (const std::uint32_t balancers : { 30U, 100U, 300U }) {
        ReportRecipients recipients;
        ReportRecipients::TimePoint now;
        for (std::uint32_t offer = 0; offer < 3 * balancers; ++offer) {
            recipients.recordOffer(balancer((offer * 7) % balancers), now += milliseconds(10));
        }
        CHECK(recipientsAmong(recipients, balancers) == ReportRecipients::maximumRecipients);
    }
}

// Guards against small deployments whose balancers place flows by old loads.
TEST_CASE("in a small deployment every balancer that places flows learns of each change at once")
{
    ReportRecipients recipients;
    for (std::uint32_t number = 0; number < ReportRecipients::maximumRecipients; ++number) {
        recipients.recordOffer(balancer(number), {});
    }
    CHECK(recipientsAmong(recipients, 100) == ReportRecipients::maximumRecipients);
    CHECK(recipients.contains(balancer(0)));
}

// Guards against reports to balancers that no longer place flows at the agent.
TEST_CASE("the balancer whose last offer is the oldest leaves the recipients first")
{
    ReportRecipients recipients;
    ReportRecipients::TimePoint now;
    for (std::uint32_t number = 0; number < ReportRecipients::maximumRecipients; ++number) {
        recipients.recordOffer(balancer(number), now += milliseconds(1));
    }
    recipients.recordOffer(balancer(0), now += milliseconds(1));
    recipients.recordOffer(balancer(50), now += milliseconds(1));
    CHECK(recipients.contains(balancer(0)));
    CHECK(recipients.contains(balancer(50)));
    CHECK_FALSE(recipients.contains(balancer(1)));
}
