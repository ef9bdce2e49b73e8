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

// The configuration and instance list in force, and the superseded configurations within the retention. Versions only
// rise; a document is taken or refused as a whole. No input, output, clock or thread.
class ConfigurationStore {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Offers a document as the platform published it.
    StoreResult offerText(TimePoint, DocumentKind, const std::string& text);

    // Offers a whole document or a patch from a peer. peerHistory: the peer's records since the version in force here;
    // peerHistoryComplete: the peer knows every version of the last retention.
    StoreResult offerTransfer(TimePoint, DocumentKind, const DocumentTransfer&);

    // Takes the records of a peer whose configuration is in force here now. peerComplete: the peer knows every version
    // of the last retention, and the records go back to `since`.
    void adoptHistory(TimePoint, std::vector<HistoryRecord>, std::uint64_t since, bool peerComplete);

    // Forgets superseded configurations beyond the retention.
    void prune(TimePoint);

    // 0: none in force.
    std::uint64_t version(DocumentKind) const;
    std::uint64_t hash(DocumentKind) const;

    // What brings a process that holds the version to the one in force: a patch when it fits and is small, otherwise
    // the whole document.
    DocumentTransfer transferTo(DocumentKind, std::uint64_t receiverVersion) const;

    // The records of that version and newer ones, newest first.
    std::vector<HistoryRecord> history(std::uint64_t since) const;

    // True when the hosts of every service under every version of the last retention are known here.
    bool historyComplete(TimePoint) const;

    // Null until both documents are in force.
    std::shared_ptr<const ConfigurationView> view() const { return this->currentView; }
    std::shared_ptr<const Configuration> configuration() const { return this->currentConfiguration; }
    std::shared_ptr<const InstanceList> instances() const { return this->currentInstances; }

    // Bytes of document text and history held.
    std::size_t bytesHeld() const;

private:
    struct Held {
        std::uint64_t version { 0 };
        std::uint64_t hash { 0 };
        std::string text; // canonical
        nlohmann::json document; // parsed: a patch of a large document would otherwise spend half its time on parsing
        DocumentTransfer patch; // from the version before; version 0: none
    };

    Held& held(DocumentKind kind) { return this->documents[static_cast<std::size_t>(kind)]; }
    const Held& held(DocumentKind kind) const { return this->documents[static_cast<std::size_t>(kind)]; }
    StoreResult take(TimePoint, DocumentKind, nlohmann::json document, std::string text, DocumentTransfer patch);
    void supersede(TimePoint, std::shared_ptr<const Configuration> next);
    void noteGap(TimePoint, const Configuration& next);
    void insertRecord(HistoryRecord);
    bool dropOldRecords(TimePoint);
    void rebuildView();

    std::array<Held, 2> documents;
    std::shared_ptr<const Configuration> currentConfiguration;
    std::shared_ptr<const InstanceList> currentInstances;
    std::shared_ptr<const ConfigurationView> currentView;
    std::deque<HistoryRecord> records; // newest first
    TimePoint incompleteUntil; // versions that were not seen here may have been in force until then
    std::uint64_t gapStart { 0 }; // lowest version that was not seen; 0: none within the retention
};

}
