#include "coordination/ReportRecipients.h"

#include <algorithm>

namespace chicoryferry {

void ReportRecipients::recordOffer(const Endpoint& balancer, TimePoint now)
{
    const auto found = std::find_if(this->recipients.begin(), this->recipients.end(),
        [&](const Recipient& recipient) { return recipient.balancer == balancer; });
    if (found != this->recipients.end()) {
        found->lastOffer = now;
    } else if (this->recipients.size() < maximumRecipients) {
        this->recipients.push_back({ balancer, now });
    } else {
        *std::min_element(this->recipients.begin(), this->recipients.end(),
            [](const Recipient& left, const Recipient& right) { return left.lastOffer < right.lastOffer; })
            = { balancer, now };
    }
}

bool ReportRecipients::contains(const Endpoint& balancer) const
{
    return std::any_of(this->recipients.begin(), this->recipients.end(),
        [&](const Recipient& recipient) { return recipient.balancer == balancer; });
}

}
