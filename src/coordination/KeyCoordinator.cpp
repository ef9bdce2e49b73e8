#include "coordination/KeyCoordinator.h"

#include "coordination/RendezvousRanking.h"
#include "state/ConfigurationView.h"

#include <algorithm>

namespace chicoryferry {

namespace {

constexpr std::chrono::milliseconds fenceRetryInterval { 200 };

// Shorter than the holder's acquireTimeout, so that the holder receives the reason of the refusal.
constexpr std::chrono::milliseconds fenceTimeout { 800 };

// Each expiry pass visits every record, so it must not run on every tick.
constexpr std::chrono::seconds expiryInterval { 10 };

using State = IdempotencyRecord::State;
using Result = wire::KeyAnswer;

void reply(KeyMessages& messages, const PeerIdentity& holder, const wire::KeyAcquire& request,
    wire::KeyAnswer::Result result, const std::string& reason = {}, unsigned status = 0)
{
    KeyMessage& message = messages.emplace_back(KeyMessage { holder, {} });
    wire::KeyAnswer& answer = *message.message.mutable_key_answer();
    answer.set_request(request.request());
    answer.set_key(request.key());
    answer.set_result(result);
    answer.set_reason(reason);
    answer.set_status(status);
}

State stateOf(wire::KeyAnswer::Result result)
{
    switch (result) {
    case wire::KeyAnswer::IN_PROGRESS:
        return State::Acquired;
    case wire::KeyAnswer::COMPLETED:
        return State::Completed;
    case wire::KeyAnswer::FENCED:
        return State::Fenced;
    default:
        return State::Unknown;
    }
}

wire::KeyAnswer::Result resultOf(State state)
{
    switch (state) {
    case State::Acquired:
        return wire::KeyAnswer::IN_PROGRESS;
    case State::Completed:
        return wire::KeyAnswer::COMPLETED;
    case State::Unknown:
        return wire::KeyAnswer::OUTCOME_UNKNOWN;
    case State::Released:
    case State::Fenced:
        break;
    }
    return wire::KeyAnswer::FENCED;
}

void setSender(wire::Sender& target, const PeerIdentity& identity)
{
    target.set_instance(identity.instance);
    target.set_incarnation(identity.incarnation);
}

wire::KeyRecord encode(const std::pair<std::string, std::string>& name, const IdempotencyRecord& record)
{
    wire::KeyRecord encoded;
    encoded.set_service(name.first);
    encoded.set_key(name.second);
    encoded.set_state(resultOf(record.state));
    encoded.set_status(record.status);
    encoded.set_fingerprint(record.fingerprint);
    setSender(*encoded.mutable_holder(), record.holder);
    encoded.set_request(record.request);
    return encoded;
}

// Whether the record prevents a grant to another request. A key that was never granted, or whose request is known not
// to have run, may be granted again.
bool blocksGrant(const IdempotencyRecord& record)
{
    return record.state != State::Fenced && record.state != State::Released;
}

}

std::optional<PeerIdentity> keyCoordinator(
    const std::vector<PeerIdentity>& serviceHosts, const std::string& service, const std::string& key)
{
    std::vector<RankedHost> ranked;
    ranked.reserve(serviceHosts.size());
    for (std::uint32_t index = 0; index < serviceHosts.size(); ++index) {
        ranked.push_back({ hostHash(serviceHosts[index].instance), 1, index, 0 });
    }
    if (rankHosts(keyHash(service, key), ranked, 1) == 0) {
        return std::nullopt;
    }
    return serviceHosts[ranked.front().index];
}

std::vector<PeerIdentity> coordinatingHosts(const Configuration& configuration, const std::string& service)
{
    std::vector<PeerIdentity> hosts;
    std::vector<PeerIdentity> drainingHosts;
    for (const Host& host : configuration.hosts) {
        const bool serves
            = std::any_of(configuration.bindings.begin(), configuration.bindings.end(), [&](const Binding& binding) {
                  return binding.service == service && binding.selector.matches(host.labels);
              });
        if (serves) {
            (host.state == HostState::Draining ? drainingHosts : hosts).push_back({ host.name, host.incarnation });
        }
    }
    return hosts.empty() ? drainingHosts : hosts;
}

KeyCoordinator::KeyCoordinator(PeerIdentity identity)
    : self(std::move(identity))
{
}

std::uint64_t KeyCoordinator::version() const { return this->view ? this->view->configuration().version : 0; }

KeyMessages KeyCoordinator::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> newView, std::string service, bool complete)
{
    this->view = std::move(newView);
    this->historyComplete = complete;
    std::vector<HostSet> known;
    if (service == this->localService) {
        known = std::move(this->formerHosts);
    }
    this->localService = std::move(service);
    this->currentHosts = coordinatingHosts(this->view->configuration(), this->localService);
    this->formerHosts.clear();
    for (const std::shared_ptr<const Configuration>& configuration : this->view->history()) {
        const auto cached = std::find_if(
            known.begin(), known.end(), [&](const HostSet& set) { return set.configuration == configuration; });
        this->formerHosts.push_back(cached != known.end()
                ? *cached
                : HostSet { configuration, coordinatingHosts(*configuration, this->localService) });
    }
    // Fences collected under the earlier history do not cover the former coordinators of the new one, so each pending
    // acquisition starts over. It keeps its start time, so that view changes do not extend its timeout.
    std::map<KeyName, PendingAcquisition> interrupted;
    std::swap(interrupted, this->pending);
    KeyMessages messages;
    for (const auto& [name, acquisition] : interrupted) {
        const KeyMessages restarted = this->acquire(now, acquisition.holder, acquisition.request);
        messages.insert(messages.end(), restarted.begin(), restarted.end());
        const auto again = this->pending.find(name);
        if (again != this->pending.end()) {
            again->second.started = acquisition.started;
        }
    }
    this->transferRecords(now, messages);
    return messages;
}

KeyMessages KeyCoordinator::leave(TimePoint now)
{
    KeyMessages messages;
    this->leaving = true;
    this->transferRecords(now, messages);
    return messages;
}

void KeyCoordinator::transferRecords(TimePoint now, KeyMessages& messages)
{
    const bool stillCoordinates
        = std::find(this->currentHosts.begin(), this->currentHosts.end(), this->self) != this->currentHosts.end();
    if (!this->leaving || stillCoordinates || this->currentHosts.empty()) {
        return;
    }
    if (!this->recordTransfer) {
        this->recordTransfer.emplace();
        for (const auto& [name, record] : this->records.entries()) {
            if (blocksGrant(record)) {
                this->recordTransfer->add(encode(name, record));
            }
        }
    }
    this->recordTransfer->setSuccessors(this->currentHosts);
    const KeyMessages due = this->recordTransfer->send(now);
    messages.insert(messages.end(), due.begin(), due.end());
}

bool KeyCoordinator::importRecord(TimePoint now, const wire::KeyRecord& encoded)
{
    IdempotencyRecord record;
    record.state = stateOf(encoded.state());
    record.holder = { encoded.holder().instance(), encoded.holder().incarnation() };
    record.request = encoded.request();
    record.fingerprint = encoded.fingerprint();
    record.status = encoded.status();
    const IdempotencyRecord* known = this->records.find(encoded.service(), encoded.key());
    // A released key, which is encoded as FENCED, is free for every successor, and one of them may have granted it
    // since. The release is therefore applied only to a record of the same request, and only as a fence, so that the
    // other coordinators are asked before the next grant.
    if (known == nullptr && record.state == State::Fenced) {
        return true;
    }
    if (known != nullptr) {
        const bool sameRequest = known->holder == record.holder && known->request == record.request;
        // A grant made by the local host, or an outcome that it already knows, is at least as recent as the received
        // record.
        if (blocksGrant(*known) && !(known->state == State::Acquired && sameRequest)) {
            return true;
        }
        record.fencedVersion = known->fencedVersion;
    }
    return this->records.put(now, encoded.service(), encoded.key(), record) != nullptr;
}

KeyMessages KeyCoordinator::retirement(TimePoint now, const PeerIdentity& from, const wire::KeyRetirement& message)
{
    KeyMessages messages;
    RetiringCoordinator& state = this->retiringCoordinators[from];
    state.lastHeard = now;
    if (message.first() == state.received) {
        for (const wire::KeyRecord& record : message.records()) {
            if (!this->importRecord(now, record)) {
                break; // no room for the record: the leaving coordinator must still be asked for fences
            }
            ++state.received;
        }
    }
    state.complete = state.complete || state.received == message.total();
    KeyMessage& answer = messages.emplace_back(KeyMessage { from, {} });
    answer.message.mutable_key_retirement_answer()->set_received(state.received);
    if (!state.complete) {
        return messages;
    }
    for (auto next = this->pending.begin(); next != this->pending.end();) {
        const auto current = next++;
        if (current->second.unanswered.erase(from) > 0 && current->second.unanswered.empty()) {
            this->completeAcquisition(now, current, messages);
        }
    }
    return messages;
}

KeyMessages KeyCoordinator::retirementAnswer(
    TimePoint now, const PeerIdentity& successor, const wire::KeyRetirementAnswer& answer)
{
    if (!this->recordTransfer) {
        return {};
    }
    this->recordTransfer->acknowledged(successor, answer.received());
    return this->recordTransfer->send(now);
}

bool KeyCoordinator::isCoordinator(const std::string& service, const std::string& key) const
{
    return this->view && !this->recordTransfer && service == this->localService
        && keyCoordinator(this->currentHosts, service, key) == this->self;
}

std::set<PeerIdentity> KeyCoordinator::formerCoordinators(const std::string& service, const std::string& key) const
{
    std::set<PeerIdentity> unfenced;
    for (const HostSet& set : this->formerHosts) {
        const std::optional<PeerIdentity> former = keyCoordinator(set.hosts, service, key);
        if (!former || *former == this->self) {
            continue;
        }
        const auto retired = this->retiringCoordinators.find(*former);
        if (retired == this->retiringCoordinators.end() || !retired->second.complete) {
            unfenced.insert(*former);
        }
    }
    return unfenced;
}

KeyMessages KeyCoordinator::acquire(TimePoint now, const PeerIdentity& holder, const wire::KeyAcquire& request)
{
    KeyMessages messages;
    if (!this->isCoordinator(request.service(), request.key())) {
        reply(messages, holder, request, Result::REFUSED, "not_coordinator");
        return messages;
    }
    IdempotencyRecord* record = this->records.find(request.service(), request.key());
    if (record == nullptr || record->state == State::Fenced) {
        this->startAcquisition(now, holder, request, messages);
        return messages;
    }
    const bool sameRequest = record->holder == holder && record->request == request.request();
    if (record->state == State::Released) {
        // A duplicate acquire message of a request that has ended must not acquire the key again.
        if (sameRequest) {
            reply(messages, holder, request, Result::REFUSED, "already_released");
        } else {
            this->grant(now, holder, request, messages);
        }
        return messages;
    }
    if (sameRequest && record->state == State::Acquired) {
        record->lastUpdatedAt = now;
        reply(messages, holder, request, Result::ACQUIRED);
        return messages;
    }
    this->replyFromRecord(holder, request, *record, messages);
    return messages;
}

void KeyCoordinator::replyFromRecord(
    const PeerIdentity& holder, const wire::KeyAcquire& request, const IdempotencyRecord& record, KeyMessages& messages)
{
    if (record.fingerprint != 0 && record.fingerprint != request.fingerprint()) {
        reply(messages, holder, request, Result::FINGERPRINT_MISMATCH);
        return;
    }
    reply(messages, holder, request, resultOf(record.state), {}, record.status);
}

void KeyCoordinator::startAcquisition(
    TimePoint now, const PeerIdentity& holder, const wire::KeyAcquire& request, KeyMessages& messages)
{
    const IdempotencyRecord* record = this->records.find(request.service(), request.key());
    if (record != nullptr && record->fencedVersion >= this->version()) {
        reply(messages, holder, request, Result::REFUSED, "not_coordinator");
        return;
    }
    if (!this->historyComplete) {
        reply(messages, holder, request, Result::REFUSED, "key_history_incomplete");
        return;
    }
    const KeyName name { request.service(), request.key() };
    const auto running = this->pending.find(name);
    if (running != this->pending.end()) {
        const bool same = running->second.holder == holder && running->second.request.request() == request.request();
        if (!same) {
            reply(messages, holder, request, Result::IN_PROGRESS);
        }
        return;
    }
    const std::set<PeerIdentity> unfenced = this->formerCoordinators(request.service(), request.key());
    if (unfenced.empty()) {
        this->grant(now, holder, request, messages);
        return;
    }
    PendingAcquisition acquisition { holder, request, this->nextQuery++, this->version(), unfenced, now, now };
    this->sendFences(now, acquisition, messages);
    this->pending.emplace(name, std::move(acquisition));
}

void KeyCoordinator::grant(
    TimePoint now, const PeerIdentity& holder, const wire::KeyAcquire& request, KeyMessages& messages)
{
    IdempotencyRecord record;
    record.holder = holder;
    record.request = request.request();
    record.fingerprint = request.fingerprint();
    if (const IdempotencyRecord* existing = this->records.find(request.service(), request.key())) {
        record.fencedVersion = existing->fencedVersion;
    }
    if (this->records.put(now, request.service(), request.key(), record) == nullptr) {
        reply(messages, holder, request, Result::REFUSED, "key_records_full");
        return;
    }
    reply(messages, holder, request, Result::ACQUIRED);
}

void KeyCoordinator::sendFences(TimePoint now, PendingAcquisition& acquisition, KeyMessages& messages)
{
    acquisition.lastSent = now;
    for (const PeerIdentity& former : acquisition.unanswered) {
        KeyMessage& message = messages.emplace_back(KeyMessage { former, {} });
        wire::KeyFence& fence = *message.message.mutable_key_fence();
        fence.set_service(acquisition.request.service());
        fence.set_key(acquisition.request.key());
        fence.set_query(acquisition.query);
        fence.set_configuration_version(acquisition.version);
    }
}

KeyMessages KeyCoordinator::fence(TimePoint now, const PeerIdentity& asking, const wire::KeyFence& request)
{
    IdempotencyRecord* record = this->records.find(request.service(), request.key());
    wire::KeyAnswer::Result result = wire::KeyAnswer::FENCED;
    unsigned status = 0;
    if (record != nullptr && resultOf(record->state) != wire::KeyAnswer::FENCED) {
        result = resultOf(record->state);
        status = record->status;
    } else {
        IdempotencyRecord fenced;
        fenced.state = State::Fenced;
        fenced.fencedVersion = std::max(request.configuration_version(), record != nullptr ? record->fencedVersion : 0);
        if (this->records.put(now, request.service(), request.key(), fenced) == nullptr) {
            return {}; // a fence holds only if recorded; without an answer the asking coordinator refuses the request
        }
    }
    KeyMessages messages;
    KeyMessage& message = messages.emplace_back(KeyMessage { asking, {} });
    wire::KeyFenceAnswer& answer = *message.message.mutable_key_fence_answer();
    answer.set_service(request.service());
    answer.set_key(request.key());
    answer.set_query(request.query());
    answer.set_result(result);
    answer.set_status(status);
    for (const auto& [identity, state] : this->retiringCoordinators) {
        if (state.complete) {
            setSender(*answer.add_retired(), identity);
        }
    }
    return messages;
}

KeyMessages KeyCoordinator::fenceAnswer(TimePoint now, const PeerIdentity& former, const wire::KeyFenceAnswer& answer)
{
    KeyMessages messages;
    const auto found = this->pending.find({ answer.service(), answer.key() });
    if (found == this->pending.end() || found->second.query != answer.query()
        || found->second.unanswered.erase(former) == 0) {
        return messages;
    }
    if (answer.result() != wire::KeyAnswer::FENCED) {
        const PendingAcquisition acquisition = found->second;
        this->pending.erase(found);
        IdempotencyRecord record;
        record.status = answer.status();
        record.state = answer.result() == wire::KeyAnswer::COMPLETED ? State::Completed : State::Unknown;
        // A request that is still in progress can end with any outcome, so IN_PROGRESS is not stored.
        if (answer.result() != wire::KeyAnswer::IN_PROGRESS) {
            this->records.put(now, answer.service(), answer.key(), record);
        }
        reply(messages, acquisition.holder, acquisition.request, answer.result(), {}, answer.status());
        return messages;
    }
    for (const wire::Sender& retired : answer.retired()) {
        found->second.unanswered.erase({ retired.instance(), retired.incarnation() });
    }
    if (found->second.unanswered.empty()) {
        this->completeAcquisition(now, found, messages);
    }
    return messages;
}

// Called once every former coordinator has fenced the key or is known to have transferred its records.
void KeyCoordinator::completeAcquisition(
    TimePoint now, std::map<KeyName, PendingAcquisition>::iterator entry, KeyMessages& messages)
{
    const PendingAcquisition acquisition = entry->second;
    const auto [service, key] = entry->first;
    this->pending.erase(entry);
    const IdempotencyRecord* record = this->records.find(service, key);
    if (record != nullptr && blocksGrant(*record)) {
        this->replyFromRecord(acquisition.holder, acquisition.request, *record, messages);
        return;
    }
    const bool stillGrantable
        = record == nullptr || (record->state == State::Fenced && record->fencedVersion < acquisition.version);
    if (stillGrantable && acquisition.version == this->version()) {
        this->grant(now, acquisition.holder, acquisition.request, messages);
    } else {
        reply(messages, acquisition.holder, acquisition.request, Result::REFUSED, "not_coordinator");
    }
}

KeyMessages KeyCoordinator::finish(TimePoint now, const PeerIdentity& holder, const wire::KeyFinish& end)
{
    const auto entry = this->pending.find({ end.service(), end.key() });
    if (entry != this->pending.end() && entry->second.holder == holder
        && entry->second.request.request() == end.request()) {
        this->pending.erase(entry);
    }
    IdempotencyRecord* record = this->records.find(end.service(), end.key());
    const bool same = record != nullptr && record->holder == holder && record->request == end.request();
    if (same && (record->state == State::Acquired || record->state == State::Unknown)) {
        record->lastUpdatedAt = now;
        record->status = end.status();
        record->state = end.outcome() == wire::KeyFinish::COMPLETED ? State::Completed
            : end.outcome() == wire::KeyFinish::NOT_RUN             ? State::Released
                                                                    : State::Unknown;
        if (this->recordTransfer) {
            this->recordTransfer->add(encode({ end.service(), end.key() }, *record));
        }
    }
    // An answer without a result confirms to the holder that the outcome has been recorded.
    KeyMessages messages;
    KeyMessage& message = messages.emplace_back(KeyMessage { holder, {} });
    wire::KeyAnswer& answer = *message.message.mutable_key_answer();
    answer.set_request(end.request());
    answer.set_key(end.key());
    answer.set_reason("recorded");
    return messages;
}

void KeyCoordinator::holderRestarted(TimePoint now, const PeerIdentity& current)
{
    this->records.holderRestarted(now, current);
}

KeyMessages KeyCoordinator::tick(TimePoint now)
{
    KeyMessages messages;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        PendingAcquisition& acquisition = entry->second;
        if (now - acquisition.started > fenceTimeout) {
            reply(messages, acquisition.holder, acquisition.request, Result::REFUSED, "key_coordinator_unreachable");
            entry = this->pending.erase(entry);
            continue;
        }
        if (now - acquisition.lastSent >= fenceRetryInterval) {
            this->sendFences(now, acquisition, messages);
        }
        ++entry;
    }
    if (this->recordTransfer) {
        const KeyMessages due = this->recordTransfer->send(now);
        messages.insert(messages.end(), due.begin(), due.end());
    }
    if (now >= this->nextExpiry && this->view) {
        this->nextExpiry = now + expiryInterval;
        const auto retention = this->view->configuration().retention;
        this->records.expire(now, retention, this->version());
        // A former coordinator is asked for fences as long as it belongs to a configuration within the retention
        // period, so its completed transfer must be remembered for at least that long.
        std::erase_if(
            this->retiringCoordinators, [&](const auto& item) { return now - item.second.lastHeard > 2 * retention; });
    }
    return messages;
}

KeyCoordinator::TimePoint KeyCoordinator::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [name, acquisition] : this->pending) {
        next = std::min(next, acquisition.lastSent + fenceRetryInterval);
    }
    return this->recordTransfer ? std::min(next, this->recordTransfer->nextTimeout()) : next;
}

}
