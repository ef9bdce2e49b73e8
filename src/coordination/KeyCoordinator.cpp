#include "coordination/KeyCoordinator.h"

#include "coordination/RendezvousRanking.h"
#include "state/ConfigurationView.h"

#include <algorithm>

namespace chicoryferry {

namespace {

constexpr std::chrono::milliseconds fenceRepeat { 200 };

// Less than the holder's own limit, so that the holder learns the reason.
constexpr std::chrono::milliseconds fenceLimit { 800 };

// A pass visits every record.
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

void set(wire::Sender& target, const PeerIdentity& identity)
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
    set(*encoded.mutable_holder(), record.holder);
    encoded.set_request(record.request);
    return encoded;
}

// A key that was not granted, or whose request is known not to have run, may be granted to another request.
bool bindsKey(const IdempotencyRecord& record)
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
    if (service == this->ownService) {
        known = std::move(this->formerHosts);
    }
    this->ownService = std::move(service);
    this->currentHosts = coordinatingHosts(this->view->configuration(), this->ownService);
    this->formerHosts.clear();
    for (const std::shared_ptr<const Configuration>& configuration : this->view->history()) {
        const auto cached = std::find_if(
            known.begin(), known.end(), [&](const HostSet& set) { return set.configuration == configuration; });
        this->formerHosts.push_back(cached != known.end()
                ? *cached
                : HostSet { configuration, coordinatingHosts(*configuration, this->ownService) });
    }
    // What was asked on the strength of the earlier history does not establish anything under the new one.
    std::map<KeyName, Pending> interrupted;
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
    this->handOn(now, messages);
    return messages;
}

KeyMessages KeyCoordinator::leave(TimePoint now)
{
    KeyMessages messages;
    this->leaving = true;
    this->handOn(now, messages);
    return messages;
}

void KeyCoordinator::handOn(TimePoint now, KeyMessages& messages)
{
    const bool keepsKeys
        = std::find(this->currentHosts.begin(), this->currentHosts.end(), this->self) != this->currentHosts.end();
    if (!this->leaving || keepsKeys || this->currentHosts.empty()) {
        return;
    }
    if (!this->handover) {
        this->handover.emplace();
        for (const auto& [name, record] : this->records.entries()) {
            if (bindsKey(record)) {
                this->handover->add(encode(name, record));
            }
        }
    }
    this->handover->setSuccessors(this->currentHosts);
    const KeyMessages due = this->handover->send(now);
    messages.insert(messages.end(), due.begin(), due.end());
}

bool KeyCoordinator::import(TimePoint now, const wire::KeyRecord& encoded)
{
    IdempotencyRecord record;
    record.state = stateOf(encoded.state());
    record.holder = { encoded.holder().instance(), encoded.holder().incarnation() };
    record.request = encoded.request();
    record.fingerprint = encoded.fingerprint();
    record.status = encoded.status();
    const IdempotencyRecord* known = this->records.find(encoded.service(), encoded.key());
    // A release frees the key for every successor, of which one may have granted it since: it is only taken as the end
    // of this very request, and as a fence, so that the others are asked before the next grant.
    if (known == nullptr && record.state == State::Fenced) {
        return true;
    }
    if (known != nullptr) {
        const bool sameRequest = known->holder == record.holder && known->request == record.request;
        // An own grant, or an outcome that is known already, is not older than what the other one knows.
        if (bindsKey(*known) && !(known->state == State::Acquired && sameRequest)) {
            return true;
        }
        record.fencedVersion = known->fencedVersion;
    }
    return this->records.put(now, encoded.service(), encoded.key(), record) != nullptr;
}

KeyMessages KeyCoordinator::retirement(TimePoint now, const PeerIdentity& from, const wire::KeyRetirement& message)
{
    KeyMessages messages;
    Retiring& state = this->retiring[from];
    state.lastHeard = now;
    if (message.first() == state.received) {
        for (const wire::KeyRecord& record : message.records()) {
            if (!this->import(now, record)) {
                break; // without room for its records the leaving coordinator must still be asked
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
            this->complete(now, current, messages);
        }
    }
    return messages;
}

KeyMessages KeyCoordinator::retirementAnswer(
    TimePoint now, const PeerIdentity& successor, const wire::KeyRetirementAnswer& answer)
{
    if (!this->handover) {
        return {};
    }
    this->handover->acknowledged(successor, answer.received());
    return this->handover->send(now);
}

bool KeyCoordinator::isCoordinator(const std::string& service, const std::string& key) const
{
    return this->view && !this->handover && service == this->ownService
        && keyCoordinator(this->currentHosts, service, key) == this->self;
}

std::set<PeerIdentity> KeyCoordinator::formerCoordinators(const std::string& service, const std::string& key) const
{
    std::set<PeerIdentity> formers;
    for (const HostSet& set : this->formerHosts) {
        const std::optional<PeerIdentity> former = keyCoordinator(set.hosts, service, key);
        if (!former || *former == this->self) {
            continue;
        }
        const auto retired = this->retiring.find(*former);
        if (retired == this->retiring.end() || !retired->second.complete) {
            formers.insert(*former);
        }
    }
    return formers;
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
        this->establish(now, holder, request, messages);
        return messages;
    }
    const bool sameRequest = record->holder == holder && record->request == request.request();
    if (record->state == State::Released) {
        // A repeated message of a request that has ended must not take the key again.
        if (sameRequest) {
            reply(messages, holder, request, Result::REFUSED, "already_released");
        } else {
            this->grant(now, holder, request, messages);
        }
        return messages;
    }
    if (sameRequest && record->state == State::Acquired) {
        record->touched = now;
        reply(messages, holder, request, Result::ACQUIRED);
        return messages;
    }
    this->answerRecord(holder, request, *record, messages);
    return messages;
}

void KeyCoordinator::answerRecord(
    const PeerIdentity& holder, const wire::KeyAcquire& request, const IdempotencyRecord& record, KeyMessages& messages)
{
    if (record.fingerprint != 0 && record.fingerprint != request.fingerprint()) {
        reply(messages, holder, request, Result::FINGERPRINT_MISMATCH);
        return;
    }
    reply(messages, holder, request, resultOf(record.state), {}, record.status);
}

void KeyCoordinator::establish(
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
    const std::set<PeerIdentity> formers = this->formerCoordinators(request.service(), request.key());
    if (formers.empty()) {
        this->grant(now, holder, request, messages);
        return;
    }
    Pending acquisition { holder, request, this->nextQuery++, this->version(), formers, now, now };
    this->ask(now, acquisition, messages);
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

void KeyCoordinator::ask(TimePoint now, Pending& acquisition, KeyMessages& messages)
{
    acquisition.lastAsked = now;
    for (const PeerIdentity& former : acquisition.unanswered) {
        KeyMessage& message = messages.emplace_back(KeyMessage { former, {} });
        wire::KeyFence& fence = *message.message.mutable_key_fence();
        fence.set_service(acquisition.request.service());
        fence.set_key(acquisition.request.key());
        fence.set_query(acquisition.query);
        fence.set_configuration_version(acquisition.version);
    }
}

KeyMessages KeyCoordinator::fence(TimePoint now, const PeerIdentity& asking, const wire::KeyFence& question)
{
    IdempotencyRecord* record = this->records.find(question.service(), question.key());
    wire::KeyAnswer::Result result = wire::KeyAnswer::FENCED;
    unsigned status = 0;
    if (record != nullptr && resultOf(record->state) != wire::KeyAnswer::FENCED) {
        result = resultOf(record->state);
        status = record->status;
    } else {
        IdempotencyRecord fenced;
        fenced.state = State::Fenced;
        fenced.fencedVersion
            = std::max(question.configuration_version(), record != nullptr ? record->fencedVersion : 0);
        if (this->records.put(now, question.service(), question.key(), fenced) == nullptr) {
            return {}; // without the record there is no promise; the asking coordinator refuses the request
        }
    }
    KeyMessages messages;
    KeyMessage& message = messages.emplace_back(KeyMessage { asking, {} });
    wire::KeyFenceAnswer& answer = *message.message.mutable_key_fence_answer();
    answer.set_service(question.service());
    answer.set_key(question.key());
    answer.set_query(question.query());
    answer.set_result(result);
    answer.set_status(status);
    for (const auto& [identity, state] : this->retiring) {
        if (state.complete) {
            set(*answer.add_retired(), identity);
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
        const Pending acquisition = found->second;
        this->pending.erase(found);
        IdempotencyRecord record;
        record.status = answer.status();
        record.state = answer.result() == wire::KeyAnswer::COMPLETED ? State::Completed : State::Unknown;
        // A request in progress elsewhere can still end either way, so that answer is not kept.
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
        this->complete(now, found, messages);
    }
    return messages;
}

// Each former coordinator has promised the key.
void KeyCoordinator::complete(TimePoint now, std::map<KeyName, Pending>::iterator asked, KeyMessages& messages)
{
    const Pending acquisition = asked->second;
    const auto [service, key] = asked->first;
    this->pending.erase(asked);
    const IdempotencyRecord* record = this->records.find(service, key);
    if (record != nullptr && bindsKey(*record)) {
        this->answerRecord(acquisition.holder, acquisition.request, *record, messages);
        return;
    }
    const bool stillOpen
        = record == nullptr || (record->state == State::Fenced && record->fencedVersion < acquisition.version);
    if (stillOpen && acquisition.version == this->version()) {
        this->grant(now, acquisition.holder, acquisition.request, messages);
    } else {
        reply(messages, acquisition.holder, acquisition.request, Result::REFUSED, "not_coordinator");
    }
}

KeyMessages KeyCoordinator::finish(TimePoint now, const PeerIdentity& holder, const wire::KeyFinish& end)
{
    const auto asked = this->pending.find({ end.service(), end.key() });
    if (asked != this->pending.end() && asked->second.holder == holder
        && asked->second.request.request() == end.request()) {
        this->pending.erase(asked);
    }
    IdempotencyRecord* record = this->records.find(end.service(), end.key());
    const bool same = record != nullptr && record->holder == holder && record->request == end.request();
    if (same && (record->state == State::Acquired || record->state == State::Unknown)) {
        record->touched = now;
        record->status = end.status();
        record->state = end.outcome() == wire::KeyFinish::COMPLETED ? State::Completed
            : end.outcome() == wire::KeyFinish::NOT_RUN             ? State::Released
                                                                    : State::Unknown;
        if (this->handover) {
            this->handover->add(encode({ end.service(), end.key() }, *record));
        }
    }
    // The answer without a result tells the holder that the end is recorded.
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
        Pending& acquisition = entry->second;
        if (now - acquisition.started > fenceLimit) {
            reply(messages, acquisition.holder, acquisition.request, Result::REFUSED, "key_coordinator_unreachable");
            entry = this->pending.erase(entry);
            continue;
        }
        if (now - acquisition.lastAsked >= fenceRepeat) {
            this->ask(now, acquisition, messages);
        }
        ++entry;
    }
    if (this->handover) {
        const KeyMessages due = this->handover->send(now);
        messages.insert(messages.end(), due.begin(), due.end());
    }
    if (now >= this->nextExpiry && this->view) {
        this->nextExpiry = now + expiryInterval;
        const auto retention = this->view->configuration().retention;
        this->records.expire(now, retention, this->version());
        // A coordinator is asked for as long as it belongs to a configuration within the retention.
        std::erase_if(this->retiring, [&](const auto& item) { return now - item.second.lastHeard > 2 * retention; });
    }
    return messages;
}

KeyCoordinator::TimePoint KeyCoordinator::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [name, acquisition] : this->pending) {
        next = std::min(next, acquisition.lastAsked + fenceRepeat);
    }
    return this->handover ? std::min(next, this->handover->nextTimeout()) : next;
}

}
