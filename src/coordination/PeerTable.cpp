#include "coordination/PeerTable.h"

namespace chicoryferry {

namespace {

// Longer than any message can be in transit, so that a late message of an earlier incarnation is still recognized.
constexpr std::chrono::minutes peerRetention { 60 };

}

PeerTable::SenderStatus PeerTable::heardFrom(TimePoint now, const PeerIdentity& peer)
{
    const auto [entry, added] = this->peers.try_emplace(peer.instance);
    PeerState& state = entry->second;
    if (added) {
        state.incarnation = peer.incarnation;
        state.lastHeard = now;
        return SenderStatus::New;
    }
    if (peer.incarnation < state.incarnation) {
        return SenderStatus::Outdated;
    }
    if (peer.incarnation > state.incarnation) {
        state = PeerState {};
        state.incarnation = peer.incarnation;
        state.lastHeard = now;
        return SenderStatus::Restarted;
    }
    const bool wasSuspected = now - state.lastHeard > suspicionTimeout;
    state.lastHeard = now;
    return wasSuspected ? SenderStatus::New : SenderStatus::Known;
}

void PeerTable::heartbeatReceived(
    const PeerIdentity& peer, std::uint64_t sequence, unsigned freeSlots, unsigned queued, bool draining)
{
    const auto found = this->peers.find(peer.instance);
    if (found == this->peers.end() || found->second.incarnation != peer.incarnation
        || sequence <= found->second.heartbeatSequence) {
        return;
    }
    found->second.heartbeatSequence = sequence;
    found->second.freeSlots = freeSlots;
    found->second.queued = queued;
    found->second.draining = draining;
}

std::optional<PeerIdentity> PeerTable::liveIdentity(TimePoint now, const std::string& instance) const
{
    const PeerState* state = this->find(instance);
    if (state == nullptr || now - state->lastHeard > suspicionTimeout) {
        return std::nullopt;
    }
    return PeerIdentity { instance, state->incarnation };
}

const PeerState* PeerTable::find(const std::string& instance) const
{
    const auto found = this->peers.find(instance);
    return found == this->peers.end() ? nullptr : &found->second;
}

std::vector<PeerIdentity> PeerTable::livePeers(TimePoint now) const
{
    std::vector<PeerIdentity> live;
    for (const auto& [instance, state] : this->peers) {
        if (now - state.lastHeard <= suspicionTimeout) {
            live.push_back({ instance, state.incarnation });
        }
    }
    return live;
}

void PeerTable::tick(TimePoint now)
{
    std::erase_if(this->peers, [now](const auto& entry) { return now - entry.second.lastHeard > peerRetention; });
}

}
