#include "coordination/EvacuationStatus.h"

#include <algorithm>
#include <tuple>

namespace chicoryferry {

namespace {

// Covers three hellos at their longest interval. A balancer that is silent for longer no longer counts.
constexpr std::chrono::milliseconds statementLifetime { 3000 };

// Balancers that know the same version of the store differ while some of them still hold what an earlier era said.
bool isOlder(const EvacuationStatus::Statement& left, const EvacuationStatus::Statement& right)
{
    return std::tie(left.version, left.isSettled) < std::tie(right.version, right.isSettled);
}

}

bool EvacuationStatus::recordHello(const Endpoint& balancer, const Statement& statement, TimePoint now)
{
    if (statement.version.revision == 0) {
        return false; // the balancer has not listed the store yet
    }
    std::erase_if(this->received, [&](const auto& item) { return now - item.second.at > statementLifetime; });
    this->received[balancer] = { statement, now };
    if (isOlder(this->newest, statement)) {
        this->newest = statement;
    }
    // A balancer that is behind, for example partitioned from the store, must not return the zone to use. Of balancers
    // that know the same, one that has missed a change may be wrong, so that each of them can evacuate the zone.
    bool known = false;
    bool named = false;
    for (const auto& [address, item] : this->received) {
        if (!isOlder(item.statement, this->newest)) {
            known = true;
            named = named || item.statement.isEvacuated;
        }
    }
    if (!known || named == this->evacuated) {
        return false;
    }
    this->evacuated = named;
    return true;
}

}
