#pragma once

#include "protocol/DocumentKind.h"
#include "protocol/InstanceList.h"
#include "state/DocumentTransfer.h"
#include "state/HistoryRecord.h"
#include "state/StoreResult.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chicoryferry {

class ConfigurationView;

// The configuration and instance list in force, and the superseded configurations within the retention. Versions never
// decrease; a document is accepted or refused as a whole. Performs no I/O, reads no clock and starts no threads.
class ConfigurationStore {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Offers the text of a document as published by the platform.
    StoreResult offerText(TimePoint, DocumentKind, const std::string& text);

    // Offers a whole document or a patch from a peer. The base of a patch must be the version in force, and the
    // resulting document must have the hash that the peer sent.
    StoreResult offerTransfer(TimePoint, DocumentKind, const DocumentTransfer&);

    // Adds the history records of a peer whose configuration is now in force here. peerComplete: the peer knows every
    // version within the last retention, and its records go back to version `since`.
    void adoptHistory(TimePoint, std::vector<HistoryRecord>, std::uint64_t since, bool peerComplete);

    // Removes superseded configurations that are older than the retention.
    void prune(TimePoint);

    // 0 when no document is in force.
    std::uint64_t version(DocumentKind) const;
    std::uint64_t hash(DocumentKind) const;

    // The transfer that updates a receiver from its version to the one in force: the stored patch when it starts from
    // that version and is less than half the size of the document, otherwise the whole document.
    DocumentTransfer transferTo(DocumentKind, std::uint64_t receiverVersion) const;

    // The history records with version `since` or newer, newest first.
    std::vector<HistoryRecord> history(std::uint64_t since) const;

    // True when the hosts of every service are known for every version within the last retention.
    bool historyComplete(TimePoint) const;

    // Null until both documents are in force.
    std::shared_ptr<const ConfigurationView> view() const { return this->currentView; }
    std::shared_ptr<const Configuration> configuration() const { return this->currentConfiguration; }
    std::shared_ptr<const InstanceList> instances() const { return this->currentInstances; }

    // Bytes of the stored document texts, patches and history records.
    std::size_t bytesHeld() const;

private:
    struct StoredDocument {
        std::uint64_t version { 0 };
        std::uint64_t hash { 0 };
        std::string text; // canonical form
        nlohmann::json document; // kept parsed: parsing would take half the time of patching a large document
        DocumentTransfer patch; // from the previous version; its version is 0 when there is none
    };

    StoredDocument& stored(DocumentKind kind) { return this->documents[static_cast<std::size_t>(kind)]; }
    const StoredDocument& stored(DocumentKind kind) const { return this->documents[static_cast<std::size_t>(kind)]; }
    StoreResult install(TimePoint, DocumentKind, nlohmann::json document, std::string text, DocumentTransfer patch);
    void recordSuperseded(TimePoint, std::shared_ptr<const Configuration> next);
    void recordVersionGap(TimePoint, const Configuration& next);
    void insertRecord(HistoryRecord);
    bool removeExpiredRecords(TimePoint);
    void rebuildView();

    std::array<StoredDocument, 2> documents;
    std::shared_ptr<const Configuration> currentConfiguration;
    std::shared_ptr<const InstanceList> currentInstances;
    std::shared_ptr<const ConfigurationView> currentView;
    std::deque<HistoryRecord> records; // newest first
    TimePoint historyIncompleteUntil; // until then, the retention may include versions that were not received here
    std::uint64_t firstMissingVersion { 0 }; // lowest version not received; 0 when none is missing within the retention
};

}
