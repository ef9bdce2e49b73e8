#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace chicoryferry {

// What a balancer said of itself in its last hello.
struct BalancerState {
    std::uint64_t lifetime { 0 };
    std::uint64_t revision { 0 }; // of the store, up to which it knows all changes
    bool storeAvailable { false }; // it reads the store itself and gets answers
};

// The other balancers as this one knows them: from seeds, from hellos, and from what peers and agents have heard of.
// Decides who reads the store and from whom changes are taken.
class PeerBalancers {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // self: the peer address of this process.
    explicit PeerBalancers(const Endpoint& self);

    // Machines that are greeted for as long as the process runs; they may be stale or down.
    void setSeeds(std::vector<Endpoint>);

    // A peer greeted this process.
    void heard(const Endpoint&, const BalancerState&, TimePoint now);

    // Somebody has heard of these addresses.
    void learn(std::span<const Endpoint>, TimePoint now);

    // The peer did not hand its state over.
    void fetchFailed(const Endpoint&, TimePoint now);

    // Whom to greet. Forgets peers that have been silent for too long.
    std::vector<Endpoint> peersToGreet(TimePoint now);

    // Peers heard of lately, for peers that do not know them; at most `most`.
    std::vector<Endpoint> livePeers(TimePoint now, std::size_t most) const;

    // Whether this process reads the store: few do, and the others take changes from them.
    bool isReader(TimePoint now) const;

    // The live peer that knows the most beyond the revision.
    std::optional<Endpoint> newerPeer(std::uint64_t revision, TimePoint now) const;

    // Each reader's calls are paid for and the store serves a limited number; two may fail at the same time.
    static constexpr std::size_t readers = 3;

private:
    struct Peer {
        BalancerState state;
        TimePoint lastHeard;
        TimePoint learnedAt;
        TimePoint noFetchBefore;
        bool everHeard { false };
    };

    bool isLive(const Peer&, TimePoint now) const;

    Endpoint self;
    std::vector<Endpoint> seeds;
    std::map<Endpoint, Peer> peers;
};

}
