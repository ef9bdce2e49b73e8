#include "app/ConfigurationExchange.h"

#include "app/DistributionMessages.h"
#include "coordination/DistributionTree.h"
#include "state/ConfigurationView.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "support/Overloaded.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicoryferry {

namespace {

nlohmann::json describeFaults(const StoreResult& result)
{
    nlohmann::json faults = nlohmann::json::array();
    for (const ConfigurationFault& fault : result.faults) {
        faults.push_back({ { "path", fault.path }, { "message", fault.message } });
    }
    return { { "version", result.version }, { "reason", storeOutcomeName(result.outcome) }, { "faults", faults } };
}

DistributionNode::PlatformResult platformResult(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Accepted:
        return DistributionNode::PlatformResult::Accepted;
    case StoreOutcome::NotNewer:
        return DistributionNode::PlatformResult::NotNewer;
    default:
        return DistributionNode::PlatformResult::Invalid;
    }
}

}

ConfigurationExchange::ConfigurationExchange(const std::string& instance, const std::string& availabilityZone,
    const Endpoint& peerAddress, std::vector<Endpoint> seedPeers, Logger& processLogger, Metrics& processMetrics)
    : ownPeerAddress(peerAddress)
    , logger(processLogger)
    , metrics(processMetrics)
    , distribution(instance, availabilityZone, std::move(seedPeers))
{
}

HeldVersions ConfigurationExchange::heldVersions(TimePoint now) const
{
    return { this->documents.version(DocumentKind::Configuration), this->documents.version(DocumentKind::Instances),
        this->documents.hash(DocumentKind::Configuration), this->documents.historyComplete(now) };
}

std::optional<std::chrono::milliseconds> ConfigurationExchange::confirmationAge(TimePoint now) const
{
    const auto confirmed = this->distribution.confirmedAt();
    return confirmed ? std::optional(std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed))
                     : std::nullopt;
}

std::shared_ptr<const ConfigurationView> ConfigurationExchange::view() const
{
    return this->distribution.joined() ? this->documents.view() : nullptr;
}

void ConfigurationExchange::handleStoreResult(
    TimePoint now, DocumentKind kind, const StoreResult& result, const std::string& peer)
{
    if (result.outcome == StoreOutcome::Accepted) {
        if (kind == DocumentKind::Instances) {
            this->distribution.treeChanged(now, std::make_shared<const DistributionTree>(this->documents.instances()));
        }
        return;
    }
    const std::string step = fmt::format("take {}", documentKindName(kind));
    this->metrics.refusals(step, std::string(storeOutcomeName(result.outcome))).Increment();
    const bool expected = result.outcome == StoreOutcome::NotNewer || result.outcome == StoreOutcome::BaseMissing;
    this->logger.log(
        expected ? LogLevel::Debug : LogLevel::Warning, "document_refused", step, peer, describeFaults(result));
}

void ConfigurationExchange::applyTransfer(
    TimePoint now, DocumentKind kind, const wire::Document& document, const std::string& peer, Outputs& outputs)
{
    const StoreResult result = this->documents.offerTransfer(now, kind, readDocument(document));
    this->handleStoreResult(now, kind, result, peer);
    if (result.outcome == StoreOutcome::HashMismatch || result.outcome == StoreOutcome::BaseMissing) {
        this->perform(now, this->distribution.patchFailed(now, kind), outputs);
    }
}

void ConfigurationExchange::adoptHistory(TimePoint now, const wire::Update& update)
{
    const bool sameDocument = update.configuration_version() == this->documents.version(DocumentKind::Configuration)
        && update.configuration_hash() == this->documents.hash(DocumentKind::Configuration);
    const bool useful = update.history_size() > 0 || !this->documents.historyComplete(now);
    if (!sameDocument || !useful) {
        return;
    }
    std::vector<HistoryRecord> records = readHistory(update, now);
    const bool allParsed = records.size() == static_cast<std::size_t>(update.history_size());
    this->documents.adoptHistory(
        now, std::move(records), update.history_since(), update.history_complete() && allParsed);
}

void ConfigurationExchange::updateReceived(
    TimePoint now, const wire::Update& update, const std::string& peer, Outputs& outputs)
{
    if (update.has_instances()) {
        this->applyTransfer(now, DocumentKind::Instances, update.instances(), peer, outputs);
    }
    if (update.has_configuration()) {
        this->applyTransfer(now, DocumentKind::Configuration, update.configuration(), peer, outputs);
    }
    this->adoptHistory(now, update);
    this->updateHeldVersions(now, outputs);
    this->perform(now, this->distribution.reportReceived(now, readUpdateReport(update)), outputs);
}

std::optional<ConfigurationExchange::Outputs> ConfigurationExchange::messageReceived(
    TimePoint now, const wire::PeerMessage& message)
{
    Outputs outputs;
    const std::string& peer = message.sender().instance();
    if (message.has_subscribe()) {
        if (const auto subscription = readSubscribe(message.subscribe())) {
            this->perform(now, this->distribution.subscribeReceived(now, *subscription), outputs);
        } else {
            this->metrics.drops("receive subscribe", "bad_peer_address").Increment();
        }
    } else if (message.has_update()) {
        this->updateReceived(now, message.update(), peer, outputs);
    } else if (message.has_confirm()) {
        this->perform(now, this->distribution.reportReceived(now, readConfirm(message.confirm())), outputs);
    } else {
        return std::nullopt;
    }
    return outputs;
}

ConfigurationExchange::Outputs ConfigurationExchange::platformAnswered(
    TimePoint now, const PlatformQuery& query, DocumentKind kind, const PlatformReport& report)
{
    Outputs outputs;
    DistributionNode::PlatformAnswer answer { kind, DistributionNode::PlatformResult::Unchanged, query.after, 0,
        query.wait, report.requestedAt, report.answeredAt };
    if (report.result == PlatformReport::Result::Failed) {
        answer.result = DistributionNode::PlatformResult::Failed;
        this->metrics.retries("read platform", "failed").Increment();
        this->logger.log(LogLevel::Warning, "platform_failed", report.step, "platform", { { "message", report.text } });
    } else if (report.result == PlatformReport::Result::Document) {
        const StoreResult result = this->documents.offerText(now, kind, report.text);
        answer.result = platformResult(result.outcome);
        answer.version = result.version;
        this->handleStoreResult(now, kind, result, "platform");
        this->updateHeldVersions(now, outputs);
    }
    this->perform(now, this->distribution.platformAnswered(now, answer), outputs);
    return outputs;
}

void ConfigurationExchange::updateHeldVersions(TimePoint now, Outputs& outputs)
{
    this->perform(now, this->distribution.heldVersionsChanged(now, this->heldVersions(now)), outputs);
}

ConfigurationExchange::Outputs ConfigurationExchange::tick(TimePoint now)
{
    Outputs outputs;
    this->documents.prune(now);
    if (this->documents.historyComplete(now) != this->distribution.held().historyComplete) {
        this->updateHeldVersions(now, outputs);
    }
    this->perform(now, this->distribution.tick(now), outputs);
    return outputs;
}

void ConfigurationExchange::perform(TimePoint now, const DistributionActions& actions, Outputs& outputs)
{
    const HeldVersions& held = this->distribution.held();
    const Overloaded visitor {
        [&](const SendSubscribe& action) {
            outputs.push_back(Message { action.peer, makeSubscribe(action, held, this->ownPeerAddress) });
        },
        [&](const SendUpdate& action) {
            outputs.push_back(
                Message { action.peer, makeUpdate(action, held, this->confirmationAge(now), this->documents, now) });
        },
        [&](const SendConfirm& action) {
            outputs.push_back(Message { action.peer, makeConfirm(action, held, this->confirmationAge(now)) });
        },
        [&](const QueryPlatform& action) { outputs.push_back(action); },
        [&](const CountDistributionEvent& action) { this->count(action.event); },
    };
    for (const DistributionAction& action : actions) {
        std::visit(visitor, action);
    }
}

void ConfigurationExchange::count(DistributionEvent event)
{
    switch (event) {
    case DistributionEvent::ParentSilent:
        this->metrics.retries("subscribe", "parent_silent").Increment();
        break;
    case DistributionEvent::ParentStale:
        this->metrics.retries("subscribe", "parent_stale").Increment();
        break;
    case DistributionEvent::NoPeerAnswers:
        this->metrics.retries("subscribe", "no_peer_answers").Increment();
        break;
    case DistributionEvent::UpdateRepeated:
        this->metrics.retries("send update", "not_taken").Increment();
        break;
    case DistributionEvent::WholeDocumentRequested:
        this->metrics.retries("subscribe", "whole_document_wanted").Increment();
        break;
    case DistributionEvent::TooManySubscribers:
        this->metrics.refusals("take subscriber", "too_many_subscribers").Increment();
        break;
    case DistributionEvent::UnknownSequence:
        this->metrics.drops("receive confirmation", "unknown_sequence").Increment();
        break;
    case DistributionEvent::VersionConflict:
        this->metrics.refusals("compare versions", "version_conflict").Increment();
        break;
    case DistributionEvent::PlatformStale:
        this->metrics.retries("read platform", "stale").Increment();
        break;
    }
}

}
