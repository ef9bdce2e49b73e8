#include "coordination/DistributionNode.h"

#include "coordination/DistributionTree.h"
#include "coordination/RendezvousRanking.h"

#include <algorithm>
#include <utility>

namespace chicoryferry {

namespace {

// Peers that are tried in turn as parent before starting over with the first.
constexpr std::size_t maximumParentCandidates = 12;

// At startup the configuration is requested from the platform only after this delay: the instance list usually arrives
// within milliseconds and makes this request unnecessary.
constexpr std::chrono::milliseconds configurationPollDelay { 200 };

// Long-poll timeouts. The platform counts a pending watch as one call. The configuration's timeout is short because
// each answer is also the confirmation that agents need before they reset a flow.
constexpr std::chrono::seconds configurationWatchTimeout { 1 };
constexpr std::chrono::seconds instancesWatchTimeout { 2 };
constexpr std::chrono::seconds retryInterval { 1 };

// A process that no peer answers for peersLostLimit polls the platform itself. The long interval keeps the calls within
// the platform's rate limit even when every process of an availability zone is cut off from its peers.
constexpr std::chrono::seconds peersLostLimit { 10 };
constexpr std::chrono::seconds fallbackInterval { 60 };

// A process whose confirmation is older than this looks for a peer with a newer one.
constexpr std::chrono::seconds staleLimit { 5 };

// Minimum by which a peer's confirmation must be newer to change the parent; avoids switching between equivalent peers.
constexpr std::chrono::seconds freshnessMargin { 1 };

constexpr std::chrono::milliseconds probeInterval { 1000 };
constexpr std::chrono::milliseconds joiningProbeInterval { 500 };
constexpr std::chrono::seconds preferredProbeInterval { 30 };
constexpr std::chrono::milliseconds pullInterval { 200 };

// A subscriber's heartbeat is not answered with a Confirm if any message was sent to it within this time.
constexpr std::chrono::milliseconds confirmSuppressionTime { 900 };

// Minimum difference between two confirmation times that are forwarded to subscribers.
constexpr std::chrono::milliseconds confirmationPushInterval { 800 };

// Upper bound on the transit time of a message while neither end is paused. A confirmation read later than this after
// its request is dated from the request, because it may have waited in the socket buffer of a paused process.
constexpr std::chrono::milliseconds maximumTransitTime { 500 };

// An update is resent while the subscriber still reports the old version. The delay doubles from the first to the
// longest value, because a subscriber may reject a document permanently.
constexpr std::chrono::seconds firstResendDelay { 2 };
constexpr std::chrono::seconds longestResendDelay { 60 };

std::size_t indexOf(DocumentKind kind) { return static_cast<std::size_t>(kind); }

}

DistributionNode::DistributionNode(std::string instanceName, std::string zone, std::vector<Endpoint> seedPeers)
    : instance(std::move(instanceName))
    , availabilityZone(std::move(zone))
    , instanceHash(hostHash(this->instance))
    , candidates(std::move(seedPeers))
{
}

bool DistributionNode::isReader() const
{
    return this->tree && this->tree->isReader(this->instance, this->availabilityZone);
}

std::optional<Endpoint> DistributionNode::parent() const { return this->parentEndpoint; }

bool DistributionNode::wantsParent() const { return !this->candidates.empty() && !this->isReader(); }

bool DistributionNode::isStale(TimePoint now) const
{
    return !this->lastConfirmation || now - *this->lastConfirmation > staleLimit;
}

void DistributionNode::treeChanged(TimePoint now, std::shared_ptr<const DistributionTree> changed)
{
    this->tree = std::move(changed);
    this->candidates = this->tree->parentCandidates(this->instance, this->availabilityZone, maximumParentCandidates);
    this->candidateIndex = 0;
    if (!this->wantsParent()) {
        this->parentEndpoint.reset();
    }
    if (this->isReader()) {
        // A new reader polls at once instead of waiting for the end of its long fallback interval as a non-reader.
        for (PlatformPoll& poll : this->platformPolls) {
            poll.nextPoll = std::min(poll.nextPoll, now);
        }
    }
}

DistributionActions DistributionNode::heldVersionsChanged(TimePoint now, const HeldVersions& held)
{
    DistributionActions actions;
    this->ownVersions = held;
    this->joinIfPossible(now, actions);
    if (this->hasJoined) {
        this->pushUpdates(now, actions);
    }
    return actions;
}

void DistributionNode::joinIfPossible(TimePoint now, DistributionActions& actions)
{
    if (this->hasJoined || !this->tree || !this->ownVersions.hasBothDocuments()) {
        return;
    }
    const bool silenceLimitElapsed = this->firstSubscribe && now - *this->firstSubscribe >= silenceLimit;
    if (this->candidates.empty() || silenceLimitElapsed) {
        this->join(now, actions);
    }
}

void DistributionNode::join(TimePoint now, DistributionActions& actions)
{
    this->hasJoined = true;
    this->pushUpdates(now, actions);
}

DistributionActions DistributionNode::subscribeReceived(TimePoint now, const Subscription& subscription)
{
    DistributionActions actions;
    this->pullFrom(now, subscription, actions);
    const bool sameVersion = subscription.held.configuration == this->ownVersions.configuration;
    if (sameVersion && subscription.held.configurationHash != this->ownVersions.configurationHash) {
        actions.push_back(CountDistributionEvent { DistributionEvent::VersionConflict });
    }
    if (subscription.once) {
        Subscriber oneTimeSubscriber;
        oneTimeSubscriber.last = subscription;
        this->replyTo(now, oneTimeSubscriber, actions);
        return actions;
    }
    auto found = std::find_if(this->subscriptions.begin(), this->subscriptions.end(),
        [&](const Subscriber& other) { return other.last.peer == subscription.peer; });
    if (found == this->subscriptions.end()) {
        if (this->subscriptions.size() >= maximumSubscribers) {
            actions.push_back(CountDistributionEvent { DistributionEvent::TooManySubscribers });
            return actions;
        }
        found = this->subscriptions.emplace(this->subscriptions.end());
    }
    found->last = subscription;
    found->lastHeardAt = now;
    this->replyTo(now, *found, actions);
    return actions;
}

void DistributionNode::pullFrom(TimePoint now, const Subscription& subscription, DistributionActions& actions)
{
    if (this->ownVersions.isOlderThan(subscription.held) && now >= this->nextPull) {
        this->nextPull = now + pullInterval;
        this->sendSubscribe(now, subscription.peer, true, actions);
    }
}

bool DistributionNode::needsUpdate(TimePoint now, const Subscriber& subscriber) const
{
    const Subscription& last = subscriber.last;
    const bool whole = (last.wholeConfiguration && this->ownVersions.configuration > last.held.configuration)
        || (last.wholeInstances && this->ownVersions.instances > last.held.instances);
    const bool history = this->ownVersions.historyComplete && !last.held.historyComplete;
    const bool alreadySent = !subscriber.sent.isOlderThan(this->ownVersions);
    if (alreadySent && !whole && now - subscriber.updatedAt < subscriber.resendDelay) {
        return false;
    }
    return whole || history || last.held.isOlderThan(this->ownVersions);
}

void DistributionNode::replyTo(TimePoint now, Subscriber& subscriber, DistributionActions& actions)
{
    if (!this->hasJoined) {
        return;
    }
    if (this->needsUpdate(now, subscriber)) {
        const bool repeated = subscriber.resendDelay != Duration(0) && !subscriber.sent.isOlderThan(this->ownVersions);
        if (repeated) {
            actions.push_back(CountDistributionEvent { DistributionEvent::UpdateRepeated });
        }
        this->sendUpdate(now, subscriber, subscriber.last.held, actions);
    } else if (subscriber.last.once || now - subscriber.sentAt >= confirmSuppressionTime) {
        subscriber.sentAt = now;
        actions.push_back(SendConfirm { subscriber.last.peer, subscriber.last.sequence });
    }
}

void DistributionNode::sendUpdate(
    TimePoint now, Subscriber& subscriber, HeldVersions receiver, DistributionActions& actions) const
{
    const Subscription& last = subscriber.last;
    receiver.configuration = last.wholeConfiguration ? 0 : receiver.configuration;
    receiver.instances = last.wholeInstances ? 0 : receiver.instances;
    const bool wholeHistory = this->ownVersions.historyComplete && !last.held.historyComplete;
    actions.push_back(SendUpdate { last.peer, last.sequence, receiver, wholeHistory });
    const bool repeated = !subscriber.sent.isOlderThan(this->ownVersions);
    subscriber.resendDelay = repeated
        ? std::min<Duration>(std::max<Duration>(subscriber.resendDelay * 2, firstResendDelay), longestResendDelay)
        : Duration(firstResendDelay);
    subscriber.sent = this->ownVersions;
    subscriber.updatedAt = now;
    subscriber.sentAt = now;
}

void DistributionNode::pushUpdates(TimePoint now, DistributionActions& actions)
{
    for (Subscriber& subscriber : this->subscriptions) {
        if (subscriber.sent.isOlderThan(this->ownVersions) && subscriber.last.held.isOlderThan(this->ownVersions)) {
            HeldVersions receiver = subscriber.last.held;
            receiver.configuration = std::max(receiver.configuration, subscriber.sent.configuration);
            receiver.instances = std::max(receiver.instances, subscriber.sent.instances);
            this->sendUpdate(now, subscriber, receiver, actions);
        }
    }
}

const DistributionNode::PendingSubscribe* DistributionNode::findPendingSubscribe(std::uint64_t sequence) const
{
    const PendingSubscribe& pending = this->pendingSubscribes[sequence % this->pendingSubscribes.size()];
    return sequence != 0 && pending.sequence == sequence ? &pending : nullptr;
}

DistributionActions DistributionNode::reportReceived(TimePoint now, const PeerReport& report)
{
    DistributionActions actions;
    const PendingSubscribe* pending = this->findPendingSubscribe(report.sequence);
    if (!pending) {
        actions.push_back(CountDistributionEvent { DistributionEvent::UnknownSequence });
        return actions;
    }
    const Endpoint peer = pending->peer;
    this->anyPeerLastHeard = now;
    if (peer == this->parentEndpoint) {
        this->parentLastHeard = now;
    }
    if (!this->hasJoined && this->tree && this->ownVersions.hasBothDocuments()
        && !this->ownVersions.isOlderThan(report.held)) {
        this->join(now, actions);
    }
    const bool sameVersion = report.held.configuration == this->ownVersions.configuration;
    if (sameVersion && report.held.configurationHash != this->ownVersions.configurationHash) {
        actions.push_back(CountDistributionEvent { DistributionEvent::VersionConflict });
        return actions;
    }
    if (sameVersion && report.confirmationAge) {
        // The answer to a one-time subscribe is dated from the request: such requests can form cycles between peers,
        // and a gain of one transit time per hop would make a confirmation ever younger. A parent also sends reports
        // between two heartbeats, so its reports get an allowance.
        const Duration allowance = pending->once ? Duration(0) : Duration(heartbeatInterval + maximumTransitTime);
        const TimePoint latest = pending->sentAt + allowance;
        const TimePoint confirmation = std::min(now, latest) - *report.confirmationAge;
        this->reconsiderParent(now, peer, confirmation, actions);
        this->confirm(now, confirmation, actions);
    } else if (this->wantsParent() && peer == this->candidates.front() && peer != this->parentEndpoint) {
        this->setParent(now, peer);
    }
    return actions;
}

void DistributionNode::reconsiderParent(
    TimePoint now, const Endpoint& peer, TimePoint confirmation, DistributionActions& actions)
{
    if (!this->wantsParent() || peer == this->parentEndpoint) {
        return;
    }
    const bool fresher = !this->lastConfirmation || confirmation > *this->lastConfirmation + freshnessMargin;
    if (this->isStale(now) && fresher) {
        actions.push_back(CountDistributionEvent { DistributionEvent::ParentStale });
        this->setParent(now, peer);
    } else if (peer == this->candidates.front() && !this->isStale(now)) {
        this->setParent(now, peer);
    }
}

void DistributionNode::confirm(TimePoint now, TimePoint confirmation, DistributionActions& actions)
{
    if (this->lastConfirmation && confirmation <= *this->lastConfirmation) {
        return;
    }
    this->lastConfirmation = confirmation;
    const bool due
        = !this->lastPushedConfirmation || confirmation - *this->lastPushedConfirmation >= confirmationPushInterval;
    if (!due || !this->hasJoined) {
        return;
    }
    this->lastPushedConfirmation = confirmation;
    for (Subscriber& subscriber : this->subscriptions) {
        subscriber.sentAt = now;
        actions.push_back(SendConfirm { subscriber.last.peer, subscriber.last.sequence });
    }
}

DistributionActions DistributionNode::patchFailed(TimePoint now, DocumentKind kind)
{
    DistributionActions actions;
    const bool alreadyWanted = this->wholeDocumentWanted[indexOf(kind)];
    this->wholeDocumentWanted[indexOf(kind)] = true;
    if (!alreadyWanted && this->parentEndpoint) {
        actions.push_back(CountDistributionEvent { DistributionEvent::WholeDocumentRequested });
        this->sendSubscribe(now, *this->parentEndpoint, false, actions);
    }
    return actions;
}

DistributionActions DistributionNode::platformAnswered(TimePoint now, const PlatformAnswer& answer)
{
    DistributionActions actions;
    PlatformPoll& poll = this->platformPolls[indexOf(answer.kind)];
    poll.inProgress = false;
    poll.nextPoll = std::max(poll.nextPoll, now);
    switch (answer.result) {
    case PlatformResult::Failed:
        poll.nextPoll = std::max<TimePoint>(poll.nextPoll, now + retryInterval);
        return actions;
    case PlatformResult::NotNewer:
        // Without this delay, a stale platform would be polled in a busy loop.
        poll.nextPoll = std::max<TimePoint>(poll.nextPoll, now + retryInterval);
        actions.push_back(CountDistributionEvent { DistributionEvent::PlatformStale });
        return actions;
    case PlatformResult::Invalid:
        poll.refusedVersion = std::max(poll.refusedVersion, answer.version);
        poll.nextPoll = std::max<TimePoint>(poll.nextPoll, now + retryInterval);
        break;
    case PlatformResult::Accepted:
    case PlatformResult::Unchanged:
        break;
    }
    const bool current = answer.result == PlatformResult::Accepted || answer.after >= this->ownVersions.of(answer.kind);
    if (answer.kind == DocumentKind::Configuration && current && this->ownVersions.configuration != 0) {
        const TimePoint latest = answer.requestedAt + answer.wait + maximumTransitTime;
        this->confirm(now, std::min(answer.answeredAt, latest), actions);
    }
    this->joinIfPossible(now, actions);
    this->pollPlatformIfDue(now, actions);
    return actions;
}

bool DistributionNode::shouldPollPlatform(TimePoint now, DocumentKind kind) const
{
    if (!this->tree || this->tree->empty()) {
        return kind == DocumentKind::Instances || this->tree || now - this->startedAt >= configurationPollDelay;
    }
    if (this->isReader()) {
        return true;
    }
    const bool silenceLimitElapsed = this->firstSubscribe && now - *this->firstSubscribe >= silenceLimit;
    if (!this->hasJoined) {
        return silenceLimitElapsed && this->ownVersions.of(kind) == 0;
    }
    return now - this->anyPeerLastHeard >= peersLostLimit;
}

void DistributionNode::pollPlatformIfDue(TimePoint now, DistributionActions& actions)
{
    for (const DocumentKind kind : documentKinds) {
        PlatformPoll& poll = this->platformPolls[indexOf(kind)];
        if (poll.inProgress || now < poll.nextPoll || !this->shouldPollPlatform(now, kind)) {
            continue;
        }
        const bool watching = !this->tree || this->tree->empty() || this->isReader();
        const auto watchTimeout
            = kind == DocumentKind::Configuration ? configurationWatchTimeout : instancesWatchTimeout;
        if (!watching) {
            actions.push_back(CountDistributionEvent { DistributionEvent::NoPeerAnswers });
            poll.nextPoll = now + (this->hasJoined ? fallbackInterval : peersLostLimit);
        }
        poll.inProgress = true;
        const std::uint64_t after = std::max(this->ownVersions.of(kind), poll.refusedVersion);
        actions.push_back(QueryPlatform { kind, after, watching ? watchTimeout : std::chrono::seconds(0) });
    }
}

void DistributionNode::setParent(TimePoint now, const Endpoint& newParent)
{
    this->parentEndpoint = newParent;
    this->parentLastHeard = now;
    this->nextHeartbeat = now;
}

void DistributionNode::changeParentIfSilent(TimePoint now, DistributionActions& actions)
{
    if (!this->wantsParent()) {
        return;
    }
    if (!this->parentEndpoint) {
        this->candidateIndex = 0;
        this->setParent(now, this->candidates.front());
    } else if (now - this->parentLastHeard >= silenceLimit) {
        actions.push_back(CountDistributionEvent { DistributionEvent::ParentSilent });
        this->candidateIndex = (this->candidateIndex + 1) % this->candidates.size();
        this->setParent(now, this->candidates[this->candidateIndex]);
    }
}

void DistributionNode::subscribeIfDue(TimePoint now, DistributionActions& actions)
{
    if (this->wantsParent() && now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + heartbeatInterval;
        this->sendSubscribe(now, *this->parentEndpoint, false, actions);
    }
}

void DistributionNode::probeIfDue(TimePoint now, DistributionActions& actions)
{
    if (this->candidates.empty() || now < this->nextProbe) {
        return;
    }
    const bool reader = this->isReader();
    if (!this->hasJoined || reader || this->isStale(now)) {
        // Readers probe each other continuously: a reader whose platform replica is stale has no other way to notice.
        this->nextProbe = now + (this->hasJoined ? probeInterval : joiningProbeInterval);
        const std::size_t index = (this->instanceHash + this->probeIndex++) % this->candidates.size();
        if (this->candidates[index] != this->parentEndpoint) {
            this->sendSubscribe(now, this->candidates[index], true, actions);
        }
    } else if (this->parentEndpoint != this->candidates.front()) {
        this->nextProbe = now + preferredProbeInterval;
        this->sendSubscribe(now, this->candidates.front(), true, actions);
    }
}

void DistributionNode::sendSubscribe(TimePoint now, const Endpoint& peer, bool once, DistributionActions& actions)
{
    if (!this->firstSubscribe) {
        this->firstSubscribe = now;
        this->anyPeerLastHeard = now;
    }
    const std::uint64_t sequence = this->nextSequence++;
    this->pendingSubscribes[sequence % this->pendingSubscribes.size()] = { sequence, peer, now, once };
    const bool wholeConfiguration
        = std::exchange(this->wholeDocumentWanted[indexOf(DocumentKind::Configuration)], false);
    const bool wholeInstances = std::exchange(this->wholeDocumentWanted[indexOf(DocumentKind::Instances)], false);
    actions.push_back(SendSubscribe { peer, sequence, once, wholeConfiguration, wholeInstances });
}

DistributionActions DistributionNode::tick(TimePoint now)
{
    DistributionActions actions;
    if (!this->started) {
        this->started = true;
        this->startedAt = now;
        this->nextHeartbeat = now;
        this->nextProbe = now;
    }
    std::erase_if(this->subscriptions,
        [&](const Subscriber& subscriber) { return now - subscriber.lastHeardAt >= subscriberLifetime; });
    this->changeParentIfSilent(now, actions);
    this->subscribeIfDue(now, actions);
    this->probeIfDue(now, actions);
    this->joinIfPossible(now, actions);
    this->pollPlatformIfDue(now, actions);
    return actions;
}

}
