#include "app/DistributionMessages.h"

#include "protocol/ConfigurationDocument.h"
#include "protocol/Endpoint.h"
#include "support/Error.h"

#include <algorithm>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

// On the wire 0 means "never", because a missing field reads as 0. An age below 1 ms is therefore sent as 1.
std::uint64_t encodeAge(std::optional<milliseconds> age)
{
    return age ? static_cast<std::uint64_t>(std::max<milliseconds::rep>(age->count(), 1)) : 0;
}

std::optional<milliseconds> decodeAge(std::uint64_t wireAge)
{
    // Limits the age so that an invalid value from a peer cannot overflow a time point.
    constexpr std::uint64_t maxAgeMs = 30ULL * 24 * 3600 * 1000;
    return wireAge == 0 ? std::nullopt : std::optional(milliseconds(std::min(wireAge, maxAgeMs)));
}

template <typename Message> HeldVersions readHeld(const Message& message)
{
    HeldVersions held;
    held.configuration = message.configuration_version();
    held.instances = message.instances_version();
    held.configurationHash = message.configuration_hash();
    return held;
}

template <typename Message> void writeHeld(const HeldVersions& held, Message& message)
{
    message.set_configuration_version(held.configuration);
    message.set_instances_version(held.instances);
    message.set_configuration_hash(held.configurationHash);
}

void writeDocument(DocumentTransfer transfer, wire::Document& document)
{
    document.set_version(transfer.version);
    document.set_content(std::move(transfer.content));
    document.set_base_version(transfer.baseVersion);
    document.set_content_hash(transfer.contentHash);
}

void writeHistory(const std::vector<HistoryRecord>& records, ConfigurationStore::TimePoint now, wire::Update& update)
{
    for (const HistoryRecord& record : records) {
        wire::HistoryEntry& entry = *update.add_history();
        entry.set_version(record.version);
        entry.set_content(record.text);
        const auto age = std::chrono::duration_cast<milliseconds>(now - record.supersededAt);
        entry.set_superseded_ms_ago(static_cast<std::uint64_t>(std::max<milliseconds::rep>(age.count(), 0)));
    }
}

}

wire::PeerMessage makeSubscribe(const SendSubscribe& action, const HeldVersions& held, const Endpoint& ownPeerAddress)
{
    wire::PeerMessage message;
    wire::Subscribe& subscribe = *message.mutable_subscribe();
    writeHeld(held, subscribe);
    subscribe.set_peer_address(formatEndpoint(ownPeerAddress));
    subscribe.set_sequence(action.sequence);
    subscribe.set_whole_configuration(action.wholeConfiguration);
    subscribe.set_whole_instances(action.wholeInstances);
    subscribe.set_history_complete(held.historyComplete);
    subscribe.set_once(action.once);
    return message;
}

wire::PeerMessage makeConfirm(
    const SendConfirm& action, const HeldVersions& held, std::optional<milliseconds> confirmationAge)
{
    wire::PeerMessage message;
    wire::Confirm& confirm = *message.mutable_confirm();
    writeHeld(held, confirm);
    confirm.set_sequence(action.sequence);
    confirm.set_platform_confirmed_ms_ago(encodeAge(confirmationAge));
    return message;
}

wire::PeerMessage makeUpdate(const SendUpdate& action, const HeldVersions& held,
    std::optional<milliseconds> confirmationAge, const ConfigurationStore& store, ConfigurationStore::TimePoint now)
{
    wire::PeerMessage message;
    wire::Update& update = *message.mutable_update();
    writeHeld(held, update);
    update.set_sequence(action.sequence);
    update.set_platform_confirmed_ms_ago(encodeAge(confirmationAge));
    update.set_history_complete(held.historyComplete);
    if (held.configuration > action.receiver.configuration) {
        writeDocument(store.transferTo(DocumentKind::Configuration, action.receiver.configuration),
            *update.mutable_configuration());
    }
    if (held.instances > action.receiver.instances) {
        writeDocument(
            store.transferTo(DocumentKind::Instances, action.receiver.instances), *update.mutable_instances());
    }
    // The receiver creates the history record of the version that it holds itself, so the history starts after it.
    const std::uint64_t since = action.wholeHistory ? 0 : action.receiver.configuration + 1;
    update.set_history_since(since);
    writeHistory(store.history(since), now, update);
    return message;
}

std::optional<DistributionNode::Subscription> readSubscribe(const wire::Subscribe& subscribe)
{
    DistributionNode::Subscription subscription;
    try {
        subscription.peer = parseEndpoint(subscribe.peer_address());
    } catch (const Error&) {
        return std::nullopt;
    }
    subscription.sequence = subscribe.sequence();
    subscription.held = readHeld(subscribe);
    subscription.held.historyComplete = subscribe.history_complete();
    subscription.once = subscribe.once();
    subscription.wholeConfiguration = subscribe.whole_configuration();
    subscription.wholeInstances = subscribe.whole_instances();
    return subscription;
}

DistributionNode::PeerReport readConfirm(const wire::Confirm& confirm)
{
    return { confirm.sequence(), readHeld(confirm), decodeAge(confirm.platform_confirmed_ms_ago()) };
}

DistributionNode::PeerReport readUpdateReport(const wire::Update& update)
{
    return { update.sequence(), readHeld(update), decodeAge(update.platform_confirmed_ms_ago()) };
}

DocumentTransfer readDocument(const wire::Document& document)
{
    return { document.version(), document.content(), document.base_version(), document.content_hash() };
}

std::vector<HistoryRecord> readHistory(const wire::Update& update, ConfigurationStore::TimePoint now)
{
    std::vector<HistoryRecord> records;
    for (const wire::HistoryEntry& entry : update.history()) {
        try {
            auto configuration = std::make_shared<const Configuration>(parseConfiguration(entry.content()));
            const auto age = decodeAge(entry.superseded_ms_ago()).value_or(milliseconds(0));
            records.push_back({ configuration->version, now - age, entry.content(), configuration });
        } catch (const Error&) {
            continue;
        }
    }
    return records;
}

}
