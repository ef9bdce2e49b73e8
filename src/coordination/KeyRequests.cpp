#include "coordination/KeyRequests.h"

#include "protocol/Configuration.h"

#include <algorithm>

namespace chicoryferry {

namespace {

constexpr std::chrono::milliseconds acquireRetryInterval { 100 };

// A request whose key no coordinator has granted within this time is refused. Longer than the coordinator's
// fenceTimeout.
constexpr std::chrono::milliseconds acquireTimeout { 1000 };

constexpr std::chrono::milliseconds finishRetryInterval { 200 };
constexpr unsigned maxReports = 50;

// Each time this many further KeyFinish messages remain unconfirmed, the coordinator is determined again: the previous
// one may have left, in which case its successors hold the record.
constexpr unsigned reportsPerCoordinator = 5;
constexpr std::chrono::seconds reportedRetention { 30 };

// How often the coordinator's record of a request in progress is renewed; well within the shortest useful retention.
constexpr std::chrono::seconds renewalInterval { 30 };

KeyDecision refusal(std::uint64_t request, unsigned status, RunOutcome outcome, const std::string& reason)
{
    KeyDecision decision;
    decision.request = request;
    decision.status = status;
    decision.outcome = outcome;
    decision.reason = reason;
    return decision;
}

}

void KeyRequests::sendAcquire(TimePoint now, std::uint64_t request, Entry& entry, KeyMessages& messages)
{
    entry.lastSent = now;
    entry.possiblyGranted = true;
    KeyMessage& message = messages.emplace_back(KeyMessage { *entry.coordinator, {} });
    wire::KeyAcquire& acquire = *message.message.mutable_key_acquire();
    acquire.set_request(request);
    acquire.set_service(entry.service);
    acquire.set_key(entry.key);
    acquire.set_fingerprint(entry.fingerprint);
}

void KeyRequests::sendFinish(TimePoint now, std::uint64_t request, Entry& entry, KeyMessages& messages)
{
    entry.lastSent = now;
    ++entry.reports;
    KeyMessage& message = messages.emplace_back(KeyMessage { *entry.coordinator, {} });
    wire::KeyFinish& finish = *message.message.mutable_key_finish();
    finish.set_request(request);
    finish.set_service(entry.service);
    finish.set_key(entry.key);
    finish.set_status(entry.status);
    finish.set_outcome(entry.outcome == RunOutcome::Completed ? wire::KeyFinish::COMPLETED
            : entry.outcome == RunOutcome::NotRun             ? wire::KeyFinish::NOT_RUN
                                                              : wire::KeyFinish::UNKNOWN);
}

KeyMessages KeyRequests::acquire(TimePoint now, std::uint64_t request, const std::string& service,
    const std::string& key, std::uint64_t fingerprint, const std::vector<PeerIdentity>& hosts)
{
    KeyMessages messages;
    Entry entry;
    entry.service = service;
    entry.key = key;
    entry.fingerprint = fingerprint;
    entry.started = now;
    entry.lastSent = now;
    entry.coordinator = keyCoordinator(hosts, service, key);
    if (entry.coordinator) {
        sendAcquire(now, request, entry, messages);
    }
    this->entries.emplace(request, std::move(entry));
    return messages;
}

std::optional<KeyDecision> KeyRequests::answered(TimePoint now, const PeerIdentity& from, const wire::KeyAnswer& answer)
{
    const auto found = this->entries.find(answer.request());
    if (found == this->entries.end() || found->second.coordinator != from || found->second.key != answer.key()) {
        return std::nullopt;
    }
    Entry& entry = found->second;
    const std::uint64_t request = answer.request();
    if (entry.state == State::Reporting && answer.result() == wire::KeyAnswer::UNSPECIFIED) {
        entry.state = State::Reported;
        entry.lastSent = now;
        return std::nullopt;
    }
    if (entry.state == State::Reported && answer.result() == wire::KeyAnswer::ACQUIRED) {
        entry.state = State::Reporting;
        return std::nullopt;
    }
    if (entry.state != State::Acquiring) {
        return std::nullopt;
    }
    switch (answer.result()) {
    case wire::KeyAnswer::ACQUIRED: {
        entry.state = State::Held;
        entry.lastSent = now;
        KeyDecision decision;
        decision.request = request;
        decision.acquired = true;
        return decision;
    }
    case wire::KeyAnswer::IN_PROGRESS:
        this->entries.erase(found);
        return refusal(request, 409, RunOutcome::Unknown, "key_in_progress");
    case wire::KeyAnswer::OUTCOME_UNKNOWN:
        this->entries.erase(found);
        return refusal(request, 409, RunOutcome::Unknown, "key_outcome_unknown");
    case wire::KeyAnswer::COMPLETED: {
        this->entries.erase(found);
        KeyDecision decision = refusal(request, 409, RunOutcome::Completed, "key_completed");
        decision.completedStatus = answer.status();
        return decision;
    }
    case wire::KeyAnswer::FINGERPRINT_MISMATCH:
        this->entries.erase(found);
        return refusal(request, 422, RunOutcome::NotRun, "key_reused");
    case wire::KeyAnswer::REFUSED:
        entry.possiblyGranted = false;
        if (answer.reason() == "not_coordinator") {
            return std::nullopt; // the two hosts' views differ temporarily; tick() asks again
        }
        this->entries.erase(found);
        return refusal(request, 503, RunOutcome::NotRun, answer.reason());
    default:
        return std::nullopt;
    }
}

KeyMessages KeyRequests::finished(TimePoint now, std::uint64_t request, RunOutcome outcome, unsigned status)
{
    KeyMessages messages;
    const auto found = this->entries.find(request);
    if (found == this->entries.end() || found->second.state == State::Reporting
        || found->second.state == State::Reported) {
        return messages;
    }
    Entry& entry = found->second;
    if (!entry.coordinator || !entry.possiblyGranted) {
        this->entries.erase(found);
        return messages;
    }
    entry.state = State::Reporting;
    entry.outcome = outcome;
    entry.status = status;
    sendFinish(now, request, entry, messages);
    return messages;
}

KeyRequests::TickResult KeyRequests::tick(TimePoint now, const Configuration* configuration)
{
    TickResult result;
    for (auto next = this->entries.begin(); next != this->entries.end();) {
        const auto current = next++;
        const std::uint64_t request = current->first;
        Entry& entry = current->second;
        const auto idle = now - entry.lastSent;
        if (entry.state == State::Acquiring && now - entry.started > acquireTimeout) {
            result.decisions.push_back(refusal(request, 503, RunOutcome::NotRun, "key_coordinator_unreachable"));
        } else if (entry.state == State::Acquiring && idle >= acquireRetryInterval && configuration != nullptr) {
            // Another coordinator is asked only when the last one is known not to have granted the key.
            if (!entry.possiblyGranted) {
                entry.coordinator
                    = keyCoordinator(coordinatingHosts(*configuration, entry.service), entry.service, entry.key);
            }
            if (entry.coordinator) {
                sendAcquire(now, request, entry, result.messages);
            }
        } else if (entry.state == State::Held && idle >= renewalInterval) {
            sendAcquire(now, request, entry, result.messages);
        } else if (entry.state == State::Reporting && idle >= finishRetryInterval) {
            if (entry.reports < maxReports) {
                if (entry.reports % reportsPerCoordinator == 0 && configuration != nullptr) {
                    const auto hosts = coordinatingHosts(*configuration, entry.service);
                    entry.coordinator = keyCoordinator(hosts, entry.service, entry.key).value_or(*entry.coordinator);
                }
                sendFinish(now, request, entry, result.messages);
            } else {
                this->entries.erase(current);
            }
        } else if (entry.state == State::Reported && idle > reportedRetention) {
            this->entries.erase(current);
        }
    }
    return result;
}

KeyRequests::TimePoint KeyRequests::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [request, entry] : this->entries) {
        if (entry.state == State::Acquiring) {
            next = std::min({ next, entry.lastSent + acquireRetryInterval, entry.started + acquireTimeout });
        } else if (entry.state == State::Reporting) {
            next = std::min(next, entry.lastSent + finishRetryInterval);
        }
    }
    return next;
}

}
