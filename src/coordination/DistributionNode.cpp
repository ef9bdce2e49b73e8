#include "coordination/DistributionNode.h"

#include "coordination/DistributionTree.h"
#include "coordination/RendezvousRanking.h"

#include <algorithm>
#include <utility>

namespace chicoryferry {

namespace {

// Peers that are tried in turn before the list starts over.
constexpr std::size_t candidateCount = 12;

// The instance list usually answers within milliseconds and makes the question for the configuration needless.
constexpr std::chrono::milliseconds configurationHeadStart { 200 };

// The platform counts a waiting watch as one call; the configuration's is short, because each answer is also the
// confirmation that agents need before they reset a flow.
constexpr std::chrono::seconds configurationWait { 1 };
constexpr std::chrono::seconds instancesWait { 2 };
constexpr std::chrono::seconds retryInterval { 1 };

// A process that hears from no peer asks the platform itself, rarely, so that the calls stay within the platform's
// rate when every process of a zone is cut off.
constexpr std::chrono::seconds peersLostLimit { 10 };
constexpr std::chrono::seconds fallbackInterval { 60 };

// A confirmation beyond this age makes a process look for a peer that knows more.
constexpr std::chrono::seconds staleLimit { 5 };

// A peer's confirmation has to be this much newer for a change of parent, so that equal peers are not exchanged.
constexpr std::chrono::seconds freshnessMargin { 1 };

constexpr std::chrono::milliseconds probeInterval { 1000 };
constexpr std::chrono::milliseconds joiningProbeInterval { 500 };
constexpr std::chrono::seconds preferredProbeInterval { 30 };
constexpr std::chrono::milliseconds pullInterval { 200 };

// A subscriber that was sent something this recently needs no Confirm for its heartbeat.
constexpr std::chrono::milliseconds recentlySent { 900 };

// Confirmations that are passed on to subscribers are this far apart.
constexpr std::chrono::milliseconds confirmationStep { 800 };

// The longest time that a message takes on its way while neither end is paused. A confirmation that was read later
// than that after its question counts from the question, because it may have waited in a socket of a paused process.
constexpr std::chrono::milliseconds travelLimit { 500 };

// An update is repeated when the subscriber still reports the old version, at first after this time, then ever more
// rarely: a subscriber may refuse a document for good.
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

bool DistributionNode::isStale(TimePoint now) const { return !this->confirmed || now - *this->confirmed > staleLimit; }

void DistributionNode::treeChanged(TimePoint now, std::shared_ptr<const DistributionTree> changed)
{
    this->tree = std::move(changed);
    this->candidates = this->tree->parentCandidates(this->instance, this->availabilityZone, candidateCount);
    this->candidateIndex = 0;
    if (!this->wantsParent()) {
        this->parentEndpoint.reset();
    }
    if (this->isReader()) {
        // A new reader does not wait out the interval of its rare questions as a non-reader.
        for (PlatformDuty& duty : this->duties) {
            duty.nextAsk = std::min(duty.nextAsk, now);
        }
    }
}

DistributionActions DistributionNode::heldChanged(TimePoint now, const HeldVersions& held)
{
    DistributionActions actions;
    this->heldHere = held;
    this->joinIfPossible(now, actions);
    if (this->hasJoined) {
        this->pushUpdates(now, actions);
    }
    return actions;
}

void DistributionNode::joinIfPossible(TimePoint now, DistributionActions& actions)
{
    if (this->hasJoined || !this->tree || !this->heldHere.both()) {
        return;
    }
    const bool nobodyAnswered = this->firstSubscribe && now - *this->firstSubscribe >= silenceLimit;
    if (this->candidates.empty() || nobodyAnswered) {
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
    const bool sameVersion = subscription.held.configuration == this->heldHere.configuration;
    if (sameVersion && subscription.held.configurationHash != this->heldHere.configurationHash) {
        actions.push_back(CountIncident { DistributionIncident::VersionConflict });
    }
    if (subscription.once) {
        Subscriber asker;
        asker.last = subscription;
        this->answer(now, asker, actions);
        return actions;
    }
    auto found = std::find_if(this->subscriptions.begin(), this->subscriptions.end(),
        [&](const Subscriber& other) { return other.last.peer == subscription.peer; });
    if (found == this->subscriptions.end()) {
        if (this->subscriptions.size() >= maximumSubscribers) {
            actions.push_back(CountIncident { DistributionIncident::TooManySubscribers });
            return actions;
        }
        found = this->subscriptions.emplace(this->subscriptions.end());
    }
    found->last = subscription;
    found->heardAt = now;
    this->answer(now, *found, actions);
    return actions;
}

void DistributionNode::pullFrom(TimePoint now, const Subscription& subscription, DistributionActions& actions)
{
    if (this->heldHere.behind(subscription.held) && now >= this->nextPull) {
        this->nextPull = now + pullInterval;
        this->sendSubscribe(now, subscription.peer, true, actions);
    }
}

bool DistributionNode::needsUpdate(TimePoint now, const Subscriber& subscriber) const
{
    const Subscription& last = subscriber.last;
    const bool whole = (last.wholeConfiguration && this->heldHere.configuration > last.held.configuration)
        || (last.wholeInstances && this->heldHere.instances > last.held.instances);
    const bool history = this->heldHere.historyComplete && !last.held.historyComplete;
    const bool alreadySent = !subscriber.sent.behind(this->heldHere);
    if (alreadySent && !whole && now - subscriber.updatedAt < subscriber.resendDelay) {
        return false;
    }
    return whole || history || last.held.behind(this->heldHere);
}

void DistributionNode::answer(TimePoint now, Subscriber& subscriber, DistributionActions& actions)
{
    if (!this->hasJoined) {
        return;
    }
    if (this->needsUpdate(now, subscriber)) {
        const bool repeated = subscriber.resendDelay != Duration(0) && !subscriber.sent.behind(this->heldHere);
        if (repeated) {
            actions.push_back(CountIncident { DistributionIncident::UpdateRepeated });
        }
        this->sendUpdate(now, subscriber, subscriber.last.held, actions);
    } else if (subscriber.last.once || now - subscriber.sentAt >= recentlySent) {
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
    const bool wholeHistory = this->heldHere.historyComplete && !last.held.historyComplete;
    actions.push_back(SendUpdate { last.peer, last.sequence, receiver, wholeHistory });
    const bool repeated = !subscriber.sent.behind(this->heldHere);
    subscriber.resendDelay = repeated
        ? std::min<Duration>(std::max<Duration>(subscriber.resendDelay * 2, firstResendDelay), longestResendDelay)
        : Duration(firstResendDelay);
    subscriber.sent = this->heldHere;
    subscriber.updatedAt = now;
    subscriber.sentAt = now;
}

void DistributionNode::pushUpdates(TimePoint now, DistributionActions& actions)
{
    for (Subscriber& subscriber : this->subscriptions) {
        if (subscriber.sent.behind(this->heldHere) && subscriber.last.held.behind(this->heldHere)) {
            HeldVersions receiver = subscriber.last.held;
            receiver.configuration = std::max(receiver.configuration, subscriber.sent.configuration);
            receiver.instances = std::max(receiver.instances, subscriber.sent.instances);
            this->sendUpdate(now, subscriber, receiver, actions);
        }
    }
}

const DistributionNode::Question* DistributionNode::findQuestion(std::uint64_t sequence) const
{
    const Question& question = this->questions[sequence % this->questions.size()];
    return sequence != 0 && question.sequence == sequence ? &question : nullptr;
}

DistributionActions DistributionNode::reportReceived(TimePoint now, const PeerReport& report)
{
    DistributionActions actions;
    const Question* question = this->findQuestion(report.sequence);
    if (!question) {
        actions.push_back(CountIncident { DistributionIncident::UnknownSequence });
        return actions;
    }
    const Endpoint peer = question->peer;
    this->peerHeard = now;
    if (peer == this->parentEndpoint) {
        this->parentHeard = now;
    }
    if (!this->hasJoined && this->tree && this->heldHere.both() && !this->heldHere.behind(report.held)) {
        this->join(now, actions);
    }
    const bool sameVersion = report.held.configuration == this->heldHere.configuration;
    if (sameVersion && report.held.configurationHash != this->heldHere.configurationHash) {
        actions.push_back(CountIncident { DistributionIncident::VersionConflict });
        return actions;
    }
    if (sameVersion && report.confirmationAge) {
        // Single questions count from their sending: they pass between peers in circles, and a gain of one travel time
        // on each pass would make a confirmation younger without end. A parent also sends between two questions.
        const Duration allowance = question->once ? Duration(0) : Duration(heartbeatInterval + travelLimit);
        const TimePoint latest = question->sentAt + allowance;
        const TimePoint confirmation = std::min(now, latest) - *report.confirmationAge;
        this->followReport(now, peer, confirmation, actions);
        this->confirm(now, confirmation, actions);
    } else if (this->wantsParent() && peer == this->candidates.front() && peer != this->parentEndpoint) {
        this->adopt(now, peer);
    }
    return actions;
}

void DistributionNode::followReport(
    TimePoint now, const Endpoint& peer, TimePoint confirmation, DistributionActions& actions)
{
    if (!this->wantsParent() || peer == this->parentEndpoint) {
        return;
    }
    const bool fresher = !this->confirmed || confirmation > *this->confirmed + freshnessMargin;
    if (this->isStale(now) && fresher) {
        actions.push_back(CountIncident { DistributionIncident::ParentStale });
        this->adopt(now, peer);
    } else if (peer == this->candidates.front() && !this->isStale(now)) {
        this->adopt(now, peer);
    }
}

void DistributionNode::confirm(TimePoint now, TimePoint confirmation, DistributionActions& actions)
{
    if (this->confirmed && confirmation <= *this->confirmed) {
        return;
    }
    this->confirmed = confirmation;
    const bool due = !this->confirmPushed || confirmation - *this->confirmPushed >= confirmationStep;
    if (!due || !this->hasJoined) {
        return;
    }
    this->confirmPushed = confirmation;
    for (Subscriber& subscriber : this->subscriptions) {
        subscriber.sentAt = now;
        actions.push_back(SendConfirm { subscriber.last.peer, subscriber.last.sequence });
    }
}

DistributionActions DistributionNode::patchRefused(TimePoint now, DocumentKind kind)
{
    DistributionActions actions;
    const bool alreadyWanted = this->wantWhole[indexOf(kind)];
    this->wantWhole[indexOf(kind)] = true;
    if (!alreadyWanted && this->parentEndpoint) {
        actions.push_back(CountIncident { DistributionIncident::WholeDocumentWanted });
        this->sendSubscribe(now, *this->parentEndpoint, false, actions);
    }
    return actions;
}

DistributionActions DistributionNode::platformAnswered(TimePoint now, const PlatformAnswer& answer)
{
    DistributionActions actions;
    PlatformDuty& duty = this->duties[indexOf(answer.kind)];
    duty.asking = false;
    duty.nextAsk = std::max(duty.nextAsk, now);
    switch (answer.result) {
    case PlatformResult::Failed:
        duty.nextAsk = std::max<TimePoint>(duty.nextAsk, now + retryInterval);
        return actions;
    case PlatformResult::NotNewer:
        // A stale platform would otherwise be asked again at once, without end.
        duty.nextAsk = std::max<TimePoint>(duty.nextAsk, now + retryInterval);
        actions.push_back(CountIncident { DistributionIncident::PlatformStale });
        return actions;
    case PlatformResult::Invalid:
        duty.refusedVersion = std::max(duty.refusedVersion, answer.version);
        duty.nextAsk = std::max<TimePoint>(duty.nextAsk, now + retryInterval);
        break;
    case PlatformResult::Accepted:
    case PlatformResult::Unchanged:
        break;
    }
    const bool current = answer.result == PlatformResult::Accepted || answer.after >= this->heldHere.of(answer.kind);
    if (answer.kind == DocumentKind::Configuration && current && this->heldHere.configuration != 0) {
        const TimePoint latest = answer.askedAt + answer.wait + travelLimit;
        this->confirm(now, std::min(answer.answeredAt, latest), actions);
    }
    this->joinIfPossible(now, actions);
    this->askIfDue(now, actions);
    return actions;
}

bool DistributionNode::asksPlatform(TimePoint now, DocumentKind kind) const
{
    if (!this->tree || this->tree->empty()) {
        return kind == DocumentKind::Instances || this->tree || now - this->startedAt >= configurationHeadStart;
    }
    if (this->isReader()) {
        return true;
    }
    const bool nobodyAnswered = this->firstSubscribe && now - *this->firstSubscribe >= silenceLimit;
    if (!this->hasJoined) {
        return nobodyAnswered && this->heldHere.of(kind) == 0;
    }
    return now - this->peerHeard >= peersLostLimit;
}

void DistributionNode::askIfDue(TimePoint now, DistributionActions& actions)
{
    for (const DocumentKind kind : documentKinds) {
        PlatformDuty& duty = this->duties[indexOf(kind)];
        if (duty.asking || now < duty.nextAsk || !this->asksPlatform(now, kind)) {
            continue;
        }
        const bool watching = !this->tree || this->tree->empty() || this->isReader();
        const auto watchWait = kind == DocumentKind::Configuration ? configurationWait : instancesWait;
        if (!watching) {
            actions.push_back(CountIncident { DistributionIncident::NoPeerAnswers });
            duty.nextAsk = now + (this->hasJoined ? fallbackInterval : peersLostLimit);
        }
        duty.asking = true;
        const std::uint64_t after = std::max(this->heldHere.of(kind), duty.refusedVersion);
        actions.push_back(AskPlatform { kind, after, watching ? watchWait : std::chrono::seconds(0) });
    }
}

void DistributionNode::adopt(TimePoint now, const Endpoint& newParent)
{
    this->parentEndpoint = newParent;
    this->parentHeard = now;
    this->nextHeartbeat = now;
}

void DistributionNode::changeParentIfSilent(TimePoint now, DistributionActions& actions)
{
    if (!this->wantsParent()) {
        return;
    }
    if (!this->parentEndpoint) {
        this->candidateIndex = 0;
        this->adopt(now, this->candidates.front());
    } else if (now - this->parentHeard >= silenceLimit) {
        actions.push_back(CountIncident { DistributionIncident::ParentSilent });
        this->candidateIndex = (this->candidateIndex + 1) % this->candidates.size();
        this->adopt(now, this->candidates[this->candidateIndex]);
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
        // Readers exchange versions all the time: a reader whose platform replica is stale gets no other hint.
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
        this->peerHeard = now;
    }
    const std::uint64_t sequence = this->nextSequence++;
    this->questions[sequence % this->questions.size()] = { sequence, peer, now, once };
    const bool wholeConfiguration = std::exchange(this->wantWhole[indexOf(DocumentKind::Configuration)], false);
    const bool wholeInstances = std::exchange(this->wantWhole[indexOf(DocumentKind::Instances)], false);
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
        [&](const Subscriber& subscriber) { return now - subscriber.heardAt >= subscriberLifetime; });
    this->changeParentIfSilent(now, actions);
    this->subscribeIfDue(now, actions);
    this->probeIfDue(now, actions);
    this->joinIfPossible(now, actions);
    this->askIfDue(now, actions);
    return actions;
}

}
