#pragma once

#include "protocol/Endpoint.h"
#include "state/StoreVersion.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace chicoryferry {

// State of a balancer as reported in its last hello.
struct BalancerState {
    std::uint64_t incarnation { 0 }; // random number drawn at each start of the process
    StoreVersion version; // of the store, as known to the balancer
    bool storeAvailable { false }; // it reads the store directly and the store answers
    std::uint64_t digest { 0 }; // of the entries known at the version, see HostDirectory::digest(); 0: not stated
    std::uint64_t configuration { 0 }; // version in force
    std::chrono::milliseconds storeAnswerAge { 0 }; // time since the store's last answer to the balancer
    bool awaitsHosts { false }; // it knows hosts without a usable entry in the store, which may be running
};

// The other balancers known to this one: from seeds, from their hellos, and from addresses reported by peers and
// agents. Decides which balancers read the store and from which peer changes are fetched.
class PeerBalancers {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // self: the peer address of this process.
    explicit PeerBalancers(const Endpoint& self);

    // Addresses to which hellos are sent for as long as the process runs; they may be stale or down.
    void setSeeds(std::vector<Endpoint>);

    // Records a hello from a peer.
    void recordHello(const Endpoint&, const BalancerState&, TimePoint now);

    // Adds balancer addresses reported by a peer or an agent.
    void addReportedPeers(std::span<const Endpoint>, TimePoint now);

    // Records that fetching the state of the peer failed.
    void fetchFailed(const Endpoint&, TimePoint now);

    // Returns the addresses to which hellos are sent. Removes peers that have been neither heard from nor reported for
    // too long.
    std::vector<Endpoint> helloTargets(TimePoint now);

    // Returns up to `limit` live peers, to be reported to peers that may not know them.
    std::vector<Endpoint> livePeers(TimePoint now, std::size_t limit) const;

    // Whether this process reads the store. Only a few balancers do; the others fetch changes from them. After one of
    // them has lost the store, those that have not had an answer since may have lost it, too, and are doubled by others
    // until they have had one.
    bool isReader(TimePoint now) const;

    // Number of live peers that reach the store and are before this process in the order of readers.
    std::size_t readersBefore(TimePoint now) const;

    // Returns the live peer with the highest store version above the given one. Skips peers from which a fetch failed
    // recently.
    std::optional<Endpoint> newerPeer(const StoreVersion&, TimePoint now) const;

    // Whether a live peer has announced the same store version with other entries.
    bool isAnyDifferent(const BalancerState& own, TimePoint now) const;

    // Whether a live peer knows hosts that may be running and that the store has no usable entry of, so that this
    // process may not know them.
    bool isAnyAwaitingHosts(TimePoint now) const;

    // The peer whose entries replace or complete those of this process, which differ from it at the same store version:
    // the first reader, because the store answers it, or, if the store answers no balancer, any peer. Unset if the
    // first reader has the same entries, is not at the same version, or is this process.
    std::optional<Endpoint> referencePeer(const BalancerState& own, TimePoint now) const;

    // Whether the store answers a live peer that reads it.
    bool isStoreAnsweringPeer(TimePoint now) const;

    // A live peer with a higher version of the configuration.
    std::optional<Endpoint> peerWithNewerConfiguration(std::uint64_t version, TimePoint now) const;

    // The highest store version that a live peer has announced.
    StoreVersion newestVersion(TimePoint now) const;

    // Number of balancers that read the store. Kept small because every call to the store costs money and the store
    // serves a limited number of calls; with three, two readers may fail at the same time.
    static constexpr std::size_t maximumReaders = 3;

private:
    struct Peer {
        BalancerState state;
        TimePoint storeAnsweredAt;
        TimePoint lastHelloAt;
        TimePoint lastReportedAt;
        TimePoint noFetchBefore;
        bool helloReceived { false };
    };

    bool isLive(const Peer&, TimePoint now) const;
    bool isFetchable(const Peer&, TimePoint now) const;
    // Whether the store has answered the peer since the last loss of a reader, or that loss is long ago.
    bool isConfirmed(const Peer&, TimePoint now) const;
    bool isReaderBefore(const std::pair<const Endpoint, Peer>&, TimePoint now) const;

    Endpoint self;
    std::vector<Endpoint> seeds;
    std::map<Endpoint, Peer> peers;
    std::optional<TimePoint> readerLostAt; // when a peer last announced that it no longer reaches the store
};

}
