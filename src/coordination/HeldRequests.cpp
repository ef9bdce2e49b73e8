#include "coordination/HeldRequests.h"

#include "support/InternalError.h"

#include <algorithm>

namespace chicoryferry {

namespace {

using Queue = std::set<std::pair<HeldRequests::TimePoint, std::uint64_t>>;

void appendFront(std::vector<std::uint64_t>& requests, const Queue& queue, std::size_t limit)
{
    for (auto entry = queue.begin(); entry != queue.end() && limit > 0; ++entry, --limit) {
        requests.push_back(entry->second);
    }
}

void appendBefore(std::vector<std::uint64_t>& requests, const Queue& queue, HeldRequests::TimePoint limit)
{
    for (auto entry = queue.begin(); entry != queue.end() && entry->first < limit; ++entry) {
        requests.push_back(entry->second);
    }
}

}

HeldRequests::Urgency HeldRequests::urgencyOf(const HeldRequest& held)
{
    return { held.deadline - held.expectedRun, held.description.request };
}

std::set<HeldRequests::Urgency>& HeldRequests::queueOf(const HeldRequest& held)
{
    if (held.state == HeldRequest::State::Pending) {
        return this->pending;
    }
    return held.longRunning ? this->waitingLong : this->waitingShort;
}

void HeldRequests::removeFromQueue(const HeldRequest& held)
{
    if (held.state == HeldRequest::State::Granted || held.state == HeldRequest::State::Shared) {
        this->grantedByDeadline.erase({ held.deadline, held.description.request });
    } else {
        this->queueOf(held).erase(urgencyOf(held));
    }
}

void HeldRequests::add(HeldRequest held)
{
    const std::uint64_t request = held.description.request;
    internalAssert(!this->requests.contains(request), "offer", "request number used twice");
    held.state = HeldRequest::State::Pending;
    this->pending.insert(urgencyOf(held));
    this->requests.emplace(request, std::move(held));
}

void HeldRequests::makeWaiting(std::uint64_t request)
{
    HeldRequest* held = this->find(request);
    if (held != nullptr && held->state == HeldRequest::State::Pending) {
        this->removeFromQueue(*held);
        held->state = HeldRequest::State::Waiting;
        this->queueOf(*held).insert(urgencyOf(*held));
    }
}

void HeldRequests::makeShared(std::uint64_t request)
{
    HeldRequest* held = this->find(request);
    if (held != nullptr && held->state == HeldRequest::State::Pending) {
        this->removeFromQueue(*held);
        held->state = HeldRequest::State::Shared;
        this->grantedByDeadline.insert({ held->deadline, request });
    }
}

HeldRequest* HeldRequests::find(std::uint64_t request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

const HeldRequest* HeldRequests::find(std::uint64_t request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

bool HeldRequests::grant(TimePoint now, std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim)
{
    HeldRequest* held = this->find(request);
    if (held == nullptr || held->state != HeldRequest::State::Waiting) {
        return false;
    }
    this->removeFromQueue(*held);
    held->state = HeldRequest::State::Granted;
    held->claimer = claimer;
    held->claim = claim;
    held->grantedAt = now;
    this->grantedByDeadline.insert({ held->deadline, request });
    return true;
}

bool HeldRequests::revokeGrant(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim)
{
    if (!this->isGranted(request, claimer, claim)) {
        return false;
    }
    HeldRequest& held = this->requests.at(request);
    this->removeFromQueue(held);
    held.state = HeldRequest::State::Waiting;
    ++held.attempt;
    this->queueOf(held).insert(urgencyOf(held));
    return true;
}

bool HeldRequests::isGranted(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return false;
    }
    const HeldRequest& held = found->second;
    return held.state == HeldRequest::State::Granted && held.claimer == claimer && held.claim == claim;
}

void HeldRequests::remove(std::uint64_t request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return;
    }
    this->removeFromQueue(found->second);
    this->requests.erase(found);
}

void HeldRequests::answerStarted(std::uint64_t request)
{
    if (HeldRequest* held = this->find(request)) {
        held->answerStarted = true;
        this->grantedByDeadline.erase({ held->deadline, request });
    }
}

std::vector<std::uint64_t> HeldRequests::ungranted() const
{
    std::vector<std::uint64_t> found;
    for (const auto& [request, held] : this->requests) {
        if (held.state == HeldRequest::State::Pending || held.state == HeldRequest::State::Waiting) {
            found.push_back(request);
        }
    }
    return found;
}

std::vector<std::uint64_t> HeldRequests::mostUrgent(std::size_t limit) const
{
    std::vector<std::uint64_t> urgent;
    appendFront(urgent, this->waitingShort, limit);
    appendFront(urgent, this->waitingLong, limit);
    return urgent;
}

std::vector<std::uint64_t> HeldRequests::deadlineUnreachable(TimePoint now) const
{
    std::vector<std::uint64_t> found;
    appendBefore(found, this->pending, now);
    appendBefore(found, this->waitingShort, now);
    appendBefore(found, this->waitingLong, now);
    return found;
}

std::vector<std::uint64_t> HeldRequests::overdue(TimePoint now) const
{
    std::vector<std::uint64_t> found;
    appendBefore(found, this->grantedByDeadline, now);
    return found;
}

HeldRequests::TimePoint HeldRequests::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const Queue* queue : { &this->pending, &this->waitingShort, &this->waitingLong, &this->grantedByDeadline }) {
        if (!queue->empty()) {
            next = std::min(next, queue->begin()->first + std::chrono::microseconds(1));
        }
    }
    return next;
}

}
