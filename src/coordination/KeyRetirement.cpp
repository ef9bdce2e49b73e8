#include "coordination/KeyRetirement.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// About 100 bytes each: a message stays far below the limits of the peer sockets.
constexpr std::size_t recordsPerMessage = 200;

// Longer than a round trip between availability zones; the same as the repeat of a question for a fence.
constexpr std::chrono::milliseconds messageRepeat { 200 };

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
        successor.repeatAt = {};
    }
}

bool KeyRetirement::isServed(const Successor& successor) const
{
    return successor.heard && successor.received == this->records.size();
}

KeyMessages KeyRetirement::send(TimePoint now)
{
    KeyMessages messages;
    for (auto& [identity, successor] : this->successors) {
        if (this->isServed(successor) || now < successor.repeatAt) {
            continue;
        }
        successor.repeatAt = now + messageRepeat;
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
    if (!successor.heard || received > successor.received) {
        successor.repeatAt = {};
    }
    successor.heard = true;
    successor.received = std::max(successor.received, received);
}

bool KeyRetirement::isComplete() const
{
    return std::all_of(this->successors.begin(), this->successors.end(),
        [this](const auto& entry) { return this->isServed(entry.second); });
}

KeyRetirement::TimePoint KeyRetirement::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [identity, successor] : this->successors) {
        if (!this->isServed(successor)) {
            next = std::min(next, successor.repeatAt);
        }
    }
    return next;
}

}
