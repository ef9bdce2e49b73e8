#pragma once

#include "coordination/KeyMessage.h"
#include "coordination/PeerIdentity.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace chicoryferry {

// Hands the records of a key coordinator that leaves to its successors, in order and with acknowledgement, one message
// a successor at a time.
class KeyRetirement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Replaces the successors; those that stay go on where they were.
    void setSuccessors(const std::vector<PeerIdentity>&);

    // A record that each successor must have, also again after it has changed.
    void add(wire::KeyRecord);

    // The messages that are due.
    KeyMessages send(TimePoint);

    // The successor has this many records.
    void acknowledged(const PeerIdentity& successor, std::size_t received);

    // Each successor has every record.
    bool isComplete() const;

    TimePoint nextTimeout() const;

private:
    struct Successor {
        std::size_t received { 0 };
        bool heard { false }; // it has answered, also when there is no record
        TimePoint repeatAt; // of the message that has not been answered
    };

    bool isServed(const Successor&) const;

    std::vector<wire::KeyRecord> records;
    std::map<PeerIdentity, Successor> successors;
};

}
