#include "coordination/KeyRetirement.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// A record takes about 100 bytes, so a message stays far below the size limits of the peer sockets.
constexpr std::size_t recordsPerMessage = 200;

// Longer than a round trip between availability zones. Same as the coordinator's fenceRetryInterval.
constexpr std::chrono::milliseconds resendInterval { 200 };

}

void KeyRetirement::setSuccessors(const std::vector<PeerIdentity>& identities)
{
    std::map<PeerIdentity, Successor> next;
    for (const PeerIdentity& identity : identities) {
        next[identity] = this->successors[identity];
    }
    this->successors = std::move(next);
}

void KeyRetirement::add(wire::KeyRecord record)
{
    this->records.push_back(std::move(record));
    for (auto& [identity, successor] : this->successors) {
        successor.resendAt = {};
    }
}

bool KeyRetirement::hasAllRecords(const Successor& successor) const
{
    return successor.hasAnswered && successor.received == this->records.size();
}

KeyMessages KeyRetirement::send(TimePoint now)
{
    KeyMessages messages;
    for (auto& [identity, successor] : this->successors) {
        if (this->hasAllRecords(successor) || now < successor.resendAt) {
            continue;
        }
        successor.resendAt = now + resendInterval;
        KeyMessage& message = messages.emplace_back(KeyMessage { identity, {} });
        wire::KeyRetirement& retirement = *message.message.mutable_key_retirement();
        retirement.set_first(successor.received);
        retirement.set_total(this->records.size());
        const std::size_t end = std::min(this->records.size(), successor.received + recordsPerMessage);
        for (std::size_t position = successor.received; position < end; ++position) {
            *retirement.add_records() = this->records[position];
        }
    }
    return messages;
}

void KeyRetirement::acknowledged(const PeerIdentity& identity, std::size_t received)
{
    const auto found = this->successors.find(identity);
    if (found == this->successors.end() || received > this->records.size()) {
        return;
    }
    Successor& successor = found->second;
    if (!successor.hasAnswered || received > successor.received) {
        successor.resendAt = {};
    }
    successor.hasAnswered = true;
    successor.received = std::max(successor.received, received);
}

bool KeyRetirement::isComplete() const
{
    return std::all_of(this->successors.begin(), this->successors.end(),
        [this](const auto& entry) { return this->hasAllRecords(entry.second); });
}

KeyRetirement::TimePoint KeyRetirement::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [identity, successor] : this->successors) {
        if (!this->hasAllRecords(successor)) {
            next = std::min(next, successor.resendAt);
        }
    }
    return next;
}

}
