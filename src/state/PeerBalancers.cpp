#include "state/PeerBalancers.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Hellos are sent every 250 ms; a peer that has missed four no longer counts as live, nor as a reader.
constexpr std::chrono::milliseconds livenessTimeout { 1000 };

// A restarted peer is back within a few seconds; a replaced peer has a different address.
constexpr std::chrono::seconds peerExpiry { 20 };

// A call of a reader to the store ends after at most 3.5 s with an answer or as failed, and its hello follows.
constexpr std::chrono::milliseconds longestSilence { 4000 };

// After a failed fetch, other peers or the store are tried first for this long.
constexpr std::chrono::milliseconds fetchRetryDelay { 2000 };

// Limits the memory used for addresses reported by others.
constexpr std::size_t maximumPeers = 4096;

// Ranks balancers by a hash of their address: this spreads the readers over the machines, and every process computes
// the same ranking.
std::uint64_t readerRank(const Endpoint& address) { return XXH3_64bits(&address.address, sizeof(address.address)); }

bool differ(const BalancerState& left, const BalancerState& right)
{
    return left.version == right.version && left.digest != 0 && right.digest != 0 && left.digest != right.digest;
}

}

PeerBalancers::PeerBalancers(const Endpoint& ownAddress)
    : self(ownAddress)
{
}

void PeerBalancers::setSeeds(std::vector<Endpoint> addresses) { this->seeds = std::move(addresses); }

bool PeerBalancers::isLive(const Peer& peer, TimePoint now) const
{
    return peer.helloReceived && now - peer.lastHelloAt <= livenessTimeout;
}

void PeerBalancers::recordHello(const Endpoint& address, const BalancerState& state, TimePoint now)
{
    if (address == this->self) {
        return;
    }
    Peer& peer = this->peers[address];
    // Datagrams may arrive late. Within one incarnation the version never decreases, so a lower one is outdated.
    const bool isSameRun = peer.helloReceived && peer.state.incarnation == state.incarnation;
    if (!isSameRun || state.version >= peer.state.version) {
        if (isSameRun && peer.state.storeAvailable && !state.storeAvailable) {
            this->readerLostAt = now;
        }
        peer.state = state;
        peer.storeAnsweredAt = now - state.storeAnswerAge;
    }
    peer.lastHelloAt = now;
    peer.helloReceived = true;
}

void PeerBalancers::addReportedPeers(std::span<const Endpoint> addresses, TimePoint now)
{
    for (const Endpoint& address : addresses) {
        if (address != this->self && this->peers.size() < maximumPeers) {
            this->peers.try_emplace(address).first->second.lastReportedAt = now;
        }
    }
}

void PeerBalancers::fetchFailed(const Endpoint& address, TimePoint now)
{
    const auto found = this->peers.find(address);
    if (found != this->peers.end()) {
        found->second.noFetchBefore = now + fetchRetryDelay;
    }
}

std::vector<Endpoint> PeerBalancers::helloTargets(TimePoint now)
{
    std::erase_if(this->peers, [&](const auto& item) {
        return now - std::max(item.second.lastHelloAt, item.second.lastReportedAt) > peerExpiry;
    });
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

std::vector<Endpoint> PeerBalancers::livePeers(TimePoint now, std::size_t limit) const
{
    std::vector<Endpoint> addresses;
    for (const auto& [address, peer] : this->peers) {
        if (addresses.size() < limit && this->isLive(peer, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool PeerBalancers::isConfirmed(const Peer& peer, TimePoint now) const
{
    return !this->readerLostAt || now - *this->readerLostAt > longestSilence
        || peer.storeAnsweredAt >= *this->readerLostAt;
}

bool PeerBalancers::isReaderBefore(const std::pair<const Endpoint, Peer>& peer, TimePoint now) const
{
    return this->isLive(peer.second, now) && peer.second.state.storeAvailable
        && readerRank(peer.first) < readerRank(this->self);
}

std::size_t PeerBalancers::readersBefore(TimePoint now) const
{
    const auto before = std::count_if(
        this->peers.begin(), this->peers.end(), [&](const auto& item) { return this->isReaderBefore(item, now); });
    return static_cast<std::size_t>(before);
}

bool PeerBalancers::isReader(TimePoint now) const
{
    const auto confirmed = std::count_if(this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return this->isReaderBefore(item, now) && this->isConfirmed(item.second, now); });
    // Twice the number bounds the calls while the store answers nobody.
    return static_cast<std::size_t>(confirmed) < maximumReaders && this->readersBefore(now) < 2 * maximumReaders;
}

StoreVersion PeerBalancers::newestVersion(TimePoint now) const
{
    StoreVersion newest;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now)) {
            newest = std::max(newest, peer.state.version);
        }
    }
    return newest;
}

bool PeerBalancers::isFetchable(const Peer& peer, TimePoint now) const
{
    return this->isLive(peer, now) && now >= peer.noFetchBefore;
}

bool PeerBalancers::isAnyDifferent(const BalancerState& own, TimePoint now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return this->isLive(item.second, now) && differ(item.second.state, own); });
}

bool PeerBalancers::isAnyAwaitingHosts(TimePoint now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return this->isLive(item.second, now) && item.second.state.awaitsHosts; });
}

bool PeerBalancers::isStoreAnsweringPeer(TimePoint now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return this->isLive(item.second, now) && item.second.state.storeAvailable; });
}

std::optional<Endpoint> PeerBalancers::referencePeer(const BalancerState& own, TimePoint now) const
{
    const std::pair<const Endpoint, Peer>* first = nullptr;
    const std::pair<const Endpoint, Peer>* any = nullptr;
    for (const auto& item : this->peers) {
        const BalancerState& state = item.second.state;
        if (state.storeAvailable && this->isLive(item.second, now)
            && (first == nullptr || readerRank(item.first) < readerRank(first->first))) {
            first = &item;
        }
        if (this->isFetchable(item.second, now) && differ(state, own)) {
            any = &item;
        }
    }
    if (own.storeAvailable && (first == nullptr || readerRank(this->self) < readerRank(first->first))) {
        return std::nullopt;
    }
    if (first == nullptr) {
        return any == nullptr ? std::nullopt : std::optional(any->first);
    }
    const bool usable = differ(first->second.state, own) && this->isFetchable(first->second, now);
    return usable ? std::optional(first->first) : std::nullopt;
}

std::optional<Endpoint> PeerBalancers::peerWithNewerConfiguration(std::uint64_t version, TimePoint now) const
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
        return this->isFetchable(item.second, now) && item.second.state.configuration > version;
    });
    return found == this->peers.end() ? std::nullopt : std::optional(found->first);
}

std::optional<Endpoint> PeerBalancers::newerPeer(const StoreVersion& version, TimePoint now) const
{
    std::optional<Endpoint> newest;
    StoreVersion newestVersion = version;
    for (const auto& [address, peer] : this->peers) {
        // A peer has no state to offer while it lists the store after a correction.
        const bool hasState = peer.state.version.revision > 0;
        if (this->isFetchable(peer, now) && hasState && peer.state.version > newestVersion) {
            newest = address;
            newestVersion = peer.state.version;
        }
    }
    return newest;
}

}
