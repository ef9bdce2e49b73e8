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

// Above the changes of one retention at the design size (44,000 a day, 600 s). Bounds the memory when an operator's
// script publishes without end; the history then counts as incomplete.
constexpr std::size_t maximumRecords = 1024;

constexpr std::chrono::milliseconds defaultRetention = std::chrono::seconds(600);

std::uint64_t versionIn(const nlohmann::json& document)
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

std::uint64_t ConfigurationStore::version(DocumentKind kind) const { return this->held(kind).version; }

std::uint64_t ConfigurationStore::hash(DocumentKind kind) const { return this->held(kind).hash; }

StoreResult ConfigurationStore::offerText(TimePoint now, DocumentKind kind, const std::string& text)
{
    if (kind == DocumentKind::Configuration && text.size() > maximumDocumentBytes) {
        return invalid(0, "document is above the size limit");
    }
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        return invalid(0, error.what());
    }
    const Held& current = this->held(kind);
    const std::uint64_t version = versionIn(document);
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
    return this->take(now, kind, std::move(document), std::move(canonical), std::move(patch));
}

StoreResult ConfigurationStore::offerTransfer(TimePoint now, DocumentKind kind, const DocumentTransfer& transfer)
{
    const Held& current = this->held(kind);
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
        // A patch that names a missing value was made against other content under the same version.
        return transfer.baseVersion == 0 ? invalid(transfer.version, error.what())
                                         : refused(StoreOutcome::HashMismatch, transfer.version);
    }
    std::string text = canonicalText(document);
    if (documentHash(text) != transfer.contentHash) {
        return refused(StoreOutcome::HashMismatch, transfer.version);
    }
    const bool whole = transfer.baseVersion == 0;
    return this->take(now, kind, std::move(document), std::move(text), whole ? DocumentTransfer {} : transfer);
}

StoreResult ConfigurationStore::take(
    TimePoint now, DocumentKind kind, nlohmann::json document, std::string text, DocumentTransfer patch)
{
    StoreResult result { StoreOutcome::Accepted, 0, {} };
    try {
        if (kind == DocumentKind::Configuration) {
            auto next = std::make_shared<const Configuration>(checkConfiguration(document));
            result.version = next->version;
            this->noteGap(now, *next);
            this->supersede(now, next);
            this->currentConfiguration = std::move(next);
        } else {
            auto next = std::make_shared<const InstanceList>(parseInstanceList(text));
            result.version = next->version;
            this->currentInstances = std::move(next);
        }
    } catch (const ConfigurationError& error) {
        return { StoreOutcome::Invalid, versionIn(document), error.faults() };
    }
    Held& taken = this->held(kind);
    taken.version = result.version;
    taken.hash = documentHash(text);
    taken.text = std::move(text);
    taken.document = std::move(document);
    taken.patch = std::move(patch);
    this->dropOldRecords(now);
    this->rebuildView();
    return result;
}

void ConfigurationStore::noteGap(TimePoint now, const Configuration& next)
{
    const std::uint64_t last = this->version(DocumentKind::Configuration);
    const bool longerRetention = this->currentConfiguration && next.retention > this->currentConfiguration->retention;
    // Records beyond the old, shorter retention are gone already.
    if (next.version != last + 1 || longerRetention) {
        this->incompleteUntil = now + next.retention;
        this->gapStart = this->gapStart == 0 ? last + 1 : this->gapStart;
    }
}

void ConfigurationStore::supersede(TimePoint now, std::shared_ptr<const Configuration> next)
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
    const nlohmann::json& superseded = this->held(DocumentKind::Configuration).document;
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
    if (peerComplete && (this->gapStart == 0 || since <= this->gapStart)) {
        this->incompleteUntil = {};
        this->gapStart = 0;
    }
    this->dropOldRecords(now);
    this->rebuildView();
}

void ConfigurationStore::prune(TimePoint now)
{
    if (this->dropOldRecords(now)) {
        this->rebuildView();
    }
}

bool ConfigurationStore::dropOldRecords(TimePoint now)
{
    const auto retention = this->currentConfiguration ? this->currentConfiguration->retention : defaultRetention;
    const std::size_t before = this->records.size();
    std::erase_if(this->records, [&](const HistoryRecord& record) { return now - record.supersededAt > retention; });
    if (this->records.size() > maximumRecords) {
        this->gapStart = this->gapStart == 0 ? 1 : this->gapStart;
        this->incompleteUntil = now + retention;
        this->records.resize(maximumRecords);
    }
    if (this->gapStart != 0 && now >= this->incompleteUntil) {
        this->gapStart = 0;
    }
    return this->records.size() != before;
}

DocumentTransfer ConfigurationStore::transferTo(DocumentKind kind, std::uint64_t receiverVersion) const
{
    const Held& current = this->held(kind);
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
    return this->currentConfiguration && (this->gapStart == 0 || now >= this->incompleteUntil);
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
    for (const Held& document : this->documents) {
        bytes += document.text.size() + document.patch.content.size();
    }
    for (const HistoryRecord& record : this->records) {
        bytes += record.text.size();
    }
    return bytes;
}

}
