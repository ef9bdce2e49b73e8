#include "state/ConfigurationStore.h"

#include "protocol/ConfigurationDocument.h"
#include "protocol/ConfigurationError.h"
#include "state/ConfigurationView.h"
#include "state/DocumentPatch.h"
#include "state/HostSetChange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chicoryferry {

namespace {

// Greater than the number of changes within one retention at the design size (44,000 changes a day, 600 s retention).
// Limits memory use when an operator's script publishes continuously; the history then counts as incomplete.
constexpr std::size_t maximumHistoryRecords = 1024;

constexpr std::chrono::milliseconds defaultRetention = std::chrono::seconds(600);

std::uint64_t documentVersion(const nlohmann::json& document)
{
    const auto version = document.is_object() ? document.find("version") : document.end();
    return document.is_object() && version != document.end() && version->is_number_unsigned()
        ? version->get<std::uint64_t>()
        : 0;
}

StoreResult refused(StoreOutcome outcome, std::uint64_t version) { return { outcome, version, {} }; }

StoreResult invalid(std::uint64_t version, const std::string& message)
{
    return { StoreOutcome::Invalid, version, { { "", message } } };
}

}

std::uint64_t ConfigurationStore::version(DocumentKind kind) const { return this->stored(kind).version; }

std::uint64_t ConfigurationStore::hash(DocumentKind kind) const { return this->stored(kind).hash; }

StoreResult ConfigurationStore::offerText(TimePoint now, DocumentKind kind, const std::string& text)
{
    if (kind == DocumentKind::Configuration && text.size() > maximumDocumentBytes) {
        return invalid(0,
            "document has " + std::to_string(text.size()) + " bytes; the limit is "
                + std::to_string(maximumDocumentBytes));
    }
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        return invalid(0, error.what());
    }
    const StoredDocument& current = this->stored(kind);
    const std::uint64_t version = documentVersion(document);
    if (version != 0 && version < current.version) {
        return refused(StoreOutcome::NotNewer, version);
    }
    std::string canonical = canonicalText(document);
    if (version != 0 && version == current.version) {
        const bool same = documentHash(canonical) == current.hash;
        return refused(same ? StoreOutcome::NotNewer : StoreOutcome::Conflict, version);
    }
    DocumentTransfer patch;
    if (current.version != 0) {
        patch = { version, makePatch(current.document, document).dump(), current.version, documentHash(canonical) };
    }
    return this->install(now, kind, std::move(document), std::move(canonical), std::move(patch));
}

StoreResult ConfigurationStore::offerTransfer(TimePoint now, DocumentKind kind, const DocumentTransfer& transfer)
{
    const StoredDocument& current = this->stored(kind);
    if (transfer.version < current.version) {
        return refused(StoreOutcome::NotNewer, transfer.version);
    }
    if (transfer.version == current.version) {
        const bool same = transfer.contentHash == current.hash;
        return refused(same ? StoreOutcome::NotNewer : StoreOutcome::Conflict, transfer.version);
    }
    if (transfer.baseVersion != 0 && transfer.baseVersion != current.version) {
        return refused(StoreOutcome::BaseMissing, transfer.version);
    }
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(transfer.content);
        if (transfer.baseVersion != 0) {
            document = current.document.patch(document);
        }
    } catch (const nlohmann::json::exception& error) {
        // A patch that refers to a missing value was made against different content with the same version.
        return transfer.baseVersion == 0 ? invalid(transfer.version, error.what())
                                         : refused(StoreOutcome::HashMismatch, transfer.version);
    }
    std::string text = canonicalText(document);
    if (documentHash(text) != transfer.contentHash) {
        return refused(StoreOutcome::HashMismatch, transfer.version);
    }
    const bool whole = transfer.baseVersion == 0;
    return this->install(now, kind, std::move(document), std::move(text), whole ? DocumentTransfer {} : transfer);
}

StoreResult ConfigurationStore::install(
    TimePoint now, DocumentKind kind, nlohmann::json document, std::string text, DocumentTransfer patch)
{
    StoreResult result { StoreOutcome::Accepted, 0, {} };
    try {
        if (kind == DocumentKind::Configuration) {
            auto next = std::make_shared<const Configuration>(checkConfiguration(document));
            result.version = next->version;
            this->recordVersionGap(now, *next);
            this->recordSuperseded(now, next);
            this->currentConfiguration = std::move(next);
        } else {
            auto next = std::make_shared<const InstanceList>(parseInstanceList(text));
            result.version = next->version;
            this->currentInstances = std::move(next);
        }
    } catch (const ConfigurationError& error) {
        return { StoreOutcome::Invalid, documentVersion(document), error.faults() };
    }
    StoredDocument& installed = this->stored(kind);
    installed.version = result.version;
    installed.hash = documentHash(text);
    installed.text = std::move(text);
    installed.document = std::move(document);
    installed.patch = std::move(patch);
    this->removeExpiredRecords(now);
    this->rebuildView();
    return result;
}

void ConfigurationStore::recordVersionGap(TimePoint now, const Configuration& next)
{
    const std::uint64_t last = this->version(DocumentKind::Configuration);
    const bool longerRetention = this->currentConfiguration && next.retention > this->currentConfiguration->retention;
    // When the retention grows, records older than the previous, shorter retention have already been removed.
    if (next.version != last + 1 || longerRetention) {
        this->historyIncompleteUntil = now + next.retention;
        this->firstMissingVersion = this->firstMissingVersion == 0 ? last + 1 : this->firstMissingVersion;
    }
}

void ConfigurationStore::recordSuperseded(TimePoint now, std::shared_ptr<const Configuration> next)
{
    if (!this->currentConfiguration) {
        return;
    }
    const auto noInstances = std::make_shared<const InstanceList>();
    const ConfigurationView oldView(this->currentConfiguration, noInstances, {});
    const ConfigurationView newView(std::move(next), noInstances, {});
    const std::set<std::string> changed = changedServices(oldView, newView);
    if (changed.empty()) {
        return;
    }
    const nlohmann::json& superseded = this->stored(DocumentKind::Configuration).document;
    const nlohmann::json document = reduceDocument(superseded, oldView, changed);
    auto reduced = std::make_shared<const Configuration>(checkConfiguration(document));
    std::string text = canonicalText(document);
    this->insertRecord({ reduced->version, now, std::move(text), reduced });
}

void ConfigurationStore::insertRecord(HistoryRecord record)
{
    const auto position = std::find_if(this->records.begin(), this->records.end(),
        [&](const HistoryRecord& other) { return other.version <= record.version; });
    if (position != this->records.end() && position->version == record.version) {
        return;
    }
    this->records.insert(position, std::move(record));
}

void ConfigurationStore::adoptHistory(
    TimePoint now, std::vector<HistoryRecord> adopted, std::uint64_t since, bool peerComplete)
{
    for (HistoryRecord& record : adopted) {
        this->insertRecord(std::move(record));
    }
    if (peerComplete && (this->firstMissingVersion == 0 || since <= this->firstMissingVersion)) {
        this->historyIncompleteUntil = {};
        this->firstMissingVersion = 0;
    }
    this->removeExpiredRecords(now);
    this->rebuildView();
}

void ConfigurationStore::prune(TimePoint now)
{
    if (this->removeExpiredRecords(now)) {
        this->rebuildView();
    }
}

bool ConfigurationStore::removeExpiredRecords(TimePoint now)
{
    const auto retention = this->currentConfiguration ? this->currentConfiguration->retention : defaultRetention;
    const std::size_t before = this->records.size();
    std::erase_if(this->records, [&](const HistoryRecord& record) { return now - record.supersededAt > retention; });
    if (this->records.size() > maximumHistoryRecords) {
        this->firstMissingVersion = this->firstMissingVersion == 0 ? 1 : this->firstMissingVersion;
        this->historyIncompleteUntil = now + retention;
        this->records.resize(maximumHistoryRecords);
    }
    if (this->firstMissingVersion != 0 && now >= this->historyIncompleteUntil) {
        this->firstMissingVersion = 0;
    }
    return this->records.size() != before;
}

DocumentTransfer ConfigurationStore::transferTo(DocumentKind kind, std::uint64_t receiverVersion) const
{
    const StoredDocument& current = this->stored(kind);
    const bool patchFits = current.patch.version == current.version && receiverVersion != 0
        && current.patch.baseVersion == receiverVersion && current.patch.content.size() < current.text.size() / 2;
    return patchFits ? current.patch : DocumentTransfer { current.version, current.text, 0, current.hash };
}

std::vector<HistoryRecord> ConfigurationStore::history(std::uint64_t since) const
{
    std::vector<HistoryRecord> found;
    std::copy_if(this->records.begin(), this->records.end(), std::back_inserter(found),
        [&](const HistoryRecord& record) { return record.version >= since; });
    return found;
}

bool ConfigurationStore::historyComplete(TimePoint now) const
{
    return this->currentConfiguration && (this->firstMissingVersion == 0 || now >= this->historyIncompleteUntil);
}

void ConfigurationStore::rebuildView()
{
    if (!this->currentConfiguration || !this->currentInstances) {
        return;
    }
    std::vector<std::shared_ptr<const Configuration>> previous;
    previous.reserve(this->records.size());
    for (const HistoryRecord& record : this->records) {
        previous.push_back(record.configuration);
    }
    this->currentView = std::make_shared<const ConfigurationView>(
        this->currentConfiguration, this->currentInstances, std::move(previous));
}

std::size_t ConfigurationStore::bytesHeld() const
{
    std::size_t bytes = 0;
    for (const StoredDocument& document : this->documents) {
        bytes += document.text.size() + document.patch.content.size();
    }
    for (const HistoryRecord& record : this->records) {
        bytes += record.text.size();
    }
    return bytes;
}

}
