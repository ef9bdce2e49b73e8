#include "state/PeerBalancers.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Hellos come every 250 ms; a peer that misses four does not serve as a reader.
constexpr std::chrono::milliseconds liveTime { 1000 };

// A peer that was restarted is back within some seconds; one that was replaced has another address.
constexpr std::chrono::seconds peerLifetime { 20 };

// After a failed fetch other peers or the store are asked first.
constexpr std::chrono::milliseconds fetchPause { 2000 };

// Bounds the memory for addresses that others claim to know.
constexpr std::size_t mostPeers = 4096;

// Spreads the readers over the machines, the same way in each process.
std::uint64_t readerRank(const Endpoint& address) { return XXH3_64bits(&address.address, sizeof(address.address)); }

}

PeerBalancers::PeerBalancers(const Endpoint& ownAddress)
    : self(ownAddress)
{
}

void PeerBalancers::setSeeds(std::vector<Endpoint> addresses) { this->seeds = std::move(addresses); }

bool PeerBalancers::isLive(const Peer& peer, TimePoint now) const
{
    return peer.everHeard && now - peer.lastHeard <= liveTime;
}

void PeerBalancers::heard(const Endpoint& address, const BalancerState& state, TimePoint now)
{
    if (address == this->self) {
        return;
    }
    Peer& peer = this->peers[address];
    // Datagrams may arrive late: within one lifetime the revision only rises.
    const bool older = peer.everHeard && peer.state.lifetime == state.lifetime && state.revision < peer.state.revision;
    if (!older) {
        peer.state = state;
    }
    peer.lastHeard = now;
    peer.everHeard = true;
}

void PeerBalancers::learn(std::span<const Endpoint> addresses, TimePoint now)
{
    for (const Endpoint& address : addresses) {
        if (address != this->self && this->peers.size() < mostPeers) {
            this->peers.try_emplace(address).first->second.learnedAt = now;
        }
    }
}

void PeerBalancers::fetchFailed(const Endpoint& address, TimePoint now)
{
    const auto found = this->peers.find(address);
    if (found != this->peers.end()) {
        found->second.noFetchBefore = now + fetchPause;
    }
}

std::vector<Endpoint> PeerBalancers::peersToGreet(TimePoint now)
{
    std::erase_if(this->peers,
        [&](const auto& item) { return now - std::max(item.second.lastHeard, item.second.learnedAt) > peerLifetime; });
    std::vector<Endpoint> addresses;
    for (const auto& [address, peer] : this->peers) {
        addresses.push_back(address);
    }
    for (const Endpoint& seed : this->seeds) {
        if (seed != this->self && !this->peers.contains(seed)) {
            addresses.push_back(seed);
        }
    }
    return addresses;
}

std::vector<Endpoint> PeerBalancers::livePeers(TimePoint now, std::size_t most) const
{
    std::vector<Endpoint> addresses;
    for (const auto& [address, peer] : this->peers) {
        if (addresses.size() < most && this->isLive(peer, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool PeerBalancers::isReader(TimePoint now) const
{
    const std::uint64_t own = readerRank(this->self);
    const auto before = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        return this->isLive(item.second, now) && item.second.state.storeAvailable && readerRank(item.first) < own;
    });
    return static_cast<std::size_t>(before) < readers;
}

std::optional<Endpoint> PeerBalancers::newerPeer(std::uint64_t revision, TimePoint now) const
{
    std::optional<Endpoint> newest;
    std::uint64_t newestRevision = revision;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now) && now >= peer.noFetchBefore && peer.state.revision > newestRevision) {
            newest = address;
            newestRevision = peer.state.revision;
        }
    }
    return newest;
}

}
