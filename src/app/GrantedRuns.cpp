#include "app/GrantedRuns.h"

#include "app/AnswerStream.h"
#include "protocol/HttpHeadMessages.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"
#include "transport/BackendClient.h"

#include <algorithm>

namespace chicoryferry {

namespace {

constexpr const char* step = "granted run";
// Longer than the 40 s within which the edge resets the connection of a caller that accepts no data, so that a live
// holder has sent a message before this limit is reached.
constexpr std::chrono::seconds holderSilenceLimit { 60 };

template <typename Message> void setIdentifiers(const GrantKey& key, Message& message)
{
    message.set_request(key.request);
    message.set_claim(key.claim);
}

}

GrantedRuns::GrantedRuns(BackendClient& backendClient, Metrics& processMetrics, const MessageSender& messageSender)
    : client(backendClient)
    , metrics(processMetrics)
    , sendMessage(messageSender)
{
}

bool GrantedRuns::storePendingGrant(
    TimePoint now, const PeerIdentity& holder, const Endpoint& holderAddress, const wire::Grant& grant)
{
    const GrantKey key { holder, grant.request(), grant.claim() };
    if (this->runs.contains(key)) {
        this->metrics.drops(step, "grant_repeated").Increment();
        return false;
    }
    std::optional<HttpRequestHead> head = readRequestHead(grant.head());
    if (!head) {
        this->metrics.drops(step, "grant_malformed").Increment();
        return false;
    }
    const std::chrono::microseconds deadline(grant.remaining_deadline_us());
    this->pendingGrant = PendingGrant { key, holderAddress, std::move(*head), grant.body(), grant.body_complete(),
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline), now,
        std::min<std::size_t>(grant.answer_credit(), AnswerStream::sharedWindowBytes) };
    return true;
}

bool GrantedRuns::start(TimePoint now, const RunPeerRequest& action)
{
    const GrantKey key { action.holder, action.request, action.claim };
    if (!this->pendingGrant || this->pendingGrant->key != key) {
        return false;
    }
    PendingGrant grant = std::move(*this->pendingGrant);
    this->pendingGrant.reset();
    Run run;
    run.holderAddress = grant.holderAddress;
    run.bodyReceived = grant.body.size();
    run.bodyComplete = grant.bodyComplete;
    run.answerCredit = grant.answerCredit;
    run.lastHeard = now;
    run.backendRun = this->client.start(now, grant.head, grant.remainingDeadline, grant.answerCredit);
    if (grant.head.framing != BodyFraming::None && (!grant.body.empty() || grant.bodyComplete)) {
        this->client.sendBody(now, run.backendRun, std::move(grant.body), grant.bodyComplete);
    }
    this->keys.emplace(run.backendRun, key);
    this->runs.emplace(key, run);
    return true;
}

GrantedRuns::RunIterator GrantedRuns::find(
    const char* kind, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim)
{
    const auto found = this->runs.find({ holder, request, claim });
    if (found == this->runs.end()) {
        this->metrics.drops(step, std::string(kind) + "_without_run").Increment();
    }
    return found;
}

std::optional<GrantedRunEnd> GrantedRuns::bodyReceived(
    TimePoint now, const PeerIdentity& holder, const wire::RequestBody& message)
{
    const auto found = this->find("request_body", holder, message.request(), message.claim());
    if (found == this->runs.end()) {
        return std::nullopt;
    }
    Run& run = found->second;
    if (message.offset() < run.bodyReceived || run.bodyComplete) {
        this->metrics.drops(step, "request_body_repeated").Increment();
        return std::nullopt;
    }
    if (message.offset() > run.bodyReceived) {
        // The backend server must not mistake a body with missing bytes for the whole body.
        this->metrics.drops(step, "request_body_gap").Increment();
        return this->end(found, { RunOutcome::Unknown, 0, "request_body_gap" });
    }
    run.lastHeard = now;
    run.bodyReceived += message.data().size();
    run.bodyComplete = message.last();
    this->client.sendBody(now, run.backendRun, message.data(), message.last());
    return std::nullopt;
}

void GrantedRuns::creditReceived(TimePoint now, const PeerIdentity& holder, const wire::AnswerCredit& message)
{
    const auto found = this->find("answer_credit", holder, message.request(), message.claim());
    if (found == this->runs.end()) {
        return;
    }
    Run& run = found->second;
    run.lastHeard = now;
    // A repeated message must not raise the bytes in flight above the limit.
    const std::uint64_t allowed
        = std::min<std::uint64_t>(run.answerCredit + message.bytes(), run.answerSent + AnswerStream::sharedWindowBytes);
    if (allowed > run.answerCredit) {
        this->client.addAnswerCredit(now, run.backendRun, allowed - run.answerCredit);
        run.answerCredit = allowed;
    }
}

bool GrantedRuns::cancel(const GrantKey& key)
{
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return false;
    }
    this->client.cancel(found->second.backendRun);
    this->keys.erase(found->second.backendRun);
    this->runs.erase(found);
    return true;
}

bool GrantedRuns::sendAnswerHead(const GrantKey& key, const Run& run, const HttpAnswerHead& head)
{
    wire::PeerMessage message;
    setIdentifiers(key, *message.mutable_answer_head());
    writeAnswerHead(head, *message.mutable_answer_head());
    return this->sendMessage(run.holderAddress, std::move(message));
}

bool GrantedRuns::sendAnswerData(const GrantKey& key, Run& run, std::string data)
{
    wire::PeerMessage message;
    wire::AnswerBody& body = *message.mutable_answer_body();
    setIdentifiers(key, body);
    body.set_offset(run.answerSent);
    run.answerSent += data.size();
    body.set_data(std::move(data));
    return this->sendMessage(run.holderAddress, std::move(message));
}

// Sends nothing for a run that did not start: placement notifies the holder of it.
void GrantedRuns::sendEnd(const GrantKey& key, const Run& run, const RunResult& result)
{
    if (result.outcome == RunOutcome::NotRun) {
        return;
    }
    wire::PeerMessage message;
    wire::AnswerEnd& end = *message.mutable_answer_end();
    setIdentifiers(key, end);
    end.set_complete(result.outcome == RunOutcome::Completed);
    end.set_reason(result.reason);
    end.set_length(run.answerSent);
    // If the message is lost, the holder's time-out on peer silence ends the request.
    if (!this->sendMessage(run.holderAddress, std::move(message))) {
        this->metrics.drops(step, "end_not_sent").Increment();
    }
}

GrantedRunEnd GrantedRuns::end(RunIterator found, RunResult result)
{
    const GrantKey key = found->first;
    this->sendEnd(key, found->second, result);
    this->cancel(key);
    return { key, std::move(result) };
}

std::optional<GrantedRunEnd> GrantedRuns::endIfNotSent(bool sent, RunIterator found)
{
    if (sent) {
        return std::nullopt;
    }
    this->metrics.drops(step, "answer_not_sent").Increment();
    return this->end(found, { RunOutcome::Unknown, 0, "answer_not_sent" });
}

std::optional<GrantedRunEnd> GrantedRuns::handle(TimePoint, BackendEvent event)
{
    const std::uint64_t backendRun = std::visit([](const auto& any) { return any.run; }, event);
    const auto key = this->keys.find(backendRun);
    if (key == this->keys.end()) {
        return std::nullopt;
    }
    const auto found = this->runs.find(key->second);
    Run& run = found->second;
    if (const auto* head = std::get_if<BackendAnswerHead>(&event)) {
        return this->endIfNotSent(this->sendAnswerHead(found->first, run, head->head), found);
    }
    if (auto* data = std::get_if<BackendAnswerData>(&event)) {
        return this->endIfNotSent(this->sendAnswerData(found->first, run, std::move(data->data)), found);
    }
    if (const auto* written = std::get_if<BackendBodyWritten>(&event)) {
        wire::PeerMessage message;
        setIdentifiers(found->first, *message.mutable_request_credit());
        message.mutable_request_credit()->set_bytes(written->bytes);
        // If the message is lost, the upload stalls and its own time-out ends the run.
        this->sendMessage(run.holderAddress, std::move(message));
        return std::nullopt;
    }
    return this->end(found, std::move(std::get<BackendRunEnd>(event).result));
}

std::vector<GrantedRunEnd> GrantedRuns::endAbandonedRuns(TimePoint now, const ConfigurationView& view)
{
    std::vector<GrantedRunEnd> ended;
    for (auto entry = this->runs.begin(); entry != this->runs.end();) {
        const auto current = entry++;
        const Run& run = current->second;
        const Host* host = view.hostByName(current->first.holder.instance);
        if (host != nullptr && host->incarnation > current->first.holder.incarnation) {
            this->metrics.drops(step, "holder_restarted").Increment();
            ended.push_back(this->end(current, { RunOutcome::Unknown, 0, "holder_restarted" }));
        } else if (run.answerSent >= run.answerCredit && now - run.lastHeard > holderSilenceLimit) {
            this->metrics.drops(step, "holder_silent").Increment();
            ended.push_back(this->end(current, { RunOutcome::Unknown, 0, "holder_silent" }));
        }
    }
    return ended;
}

bool GrantedRuns::hasRunFor(const PeerIdentity& holder) const
{
    const auto found = this->runs.lower_bound({ holder, 0, 0 });
    return found != this->runs.end() && found->first.holder == holder;
}

}
