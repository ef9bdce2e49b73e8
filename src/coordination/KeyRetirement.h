#pragma once

#include "coordination/KeyMessage.h"
#include "coordination/PeerIdentity.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace chicoryferry {

// Transfers the records of a leaving key coordinator to its successors. Records are sent in order and acknowledged,
// with at most one unacknowledged message per successor.
class KeyRetirement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Replaces the successors. Those that remain keep their progress.
    void setSuccessors(const std::vector<PeerIdentity>&);

    // Appends a record that every successor must receive. A changed record is added again.
    void add(wire::KeyRecord);

    // Returns the messages that are due.
    KeyMessages send(TimePoint);

    // The successor has received this many records.
    void acknowledged(const PeerIdentity& successor, std::size_t received);

    // Whether every successor has received every record.
    bool isComplete() const;

    TimePoint nextTimeout() const;

private:
    struct Successor {
        std::size_t received { 0 };
        bool hasAnswered { false }; // the transfer completes only after an answer, even without records
        TimePoint resendAt; // when the unacknowledged message is sent again
    };

    bool hasAllRecords(const Successor&) const;

    std::vector<wire::KeyRecord> records;
    std::map<PeerIdentity, Successor> successors;
};

}
