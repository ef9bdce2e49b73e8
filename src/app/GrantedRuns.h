#pragma once

#include "app/RequestBodyBuffer.h"
#include "coordination/PeerIdentity.h"
#include "coordination/PlacementAction.h"
#include "coordination/RunResult.h"
#include "messages.pb.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"
#include "transport/BackendEvent.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class BackendClient;
class ConfigurationView;
class Metrics;

// Identifies a granted run among those of all holders.
struct GrantKey {
    PeerIdentity holder;
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };

    auto operator<=>(const GrantKey&) const = default;
};

// The end of a granted run that was not cancelled.
struct GrantedRunEnd {
    GrantKey key;
    RunResult result;
};

// The claimer's side of granted requests: runs them on the local backend server and sends the answers to the holders.
// Answer bytes are sent only against credit from the holder, which bounds memory.
class GrantedRuns {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;

    GrantedRuns(BackendClient&, Metrics&, const MessageSender&);

    // Stores a grant until placement decides on it. Returns false when the grant repeats a run in progress or is
    // malformed; it is then counted as dropped and must not be passed to placement.
    bool storePendingGrant(TimePoint, const PeerIdentity& holder, const Endpoint& holderAddress, const wire::Grant&);

    // Discards the pending grant if placement did not start it.
    void discardPendingGrant() { this->pendingGrant.reset(); }

    // Starts the pending grant. Returns false when the action does not match it.
    bool start(TimePoint, const RunPeerRequest&);

    // Messages from holders; those that match no run in progress are dropped and counted.
    std::optional<GrantedRunEnd> bodyReceived(TimePoint, const PeerIdentity& holder, const wire::RequestBody&);
    void creditReceived(TimePoint, const PeerIdentity& holder, const wire::AnswerCredit&);

    // Cancels the run. Sends no message, because the holder has nothing to release. Returns false when there is no such
    // run.
    bool cancel(const GrantKey&);

    bool ownsRun(std::uint64_t backendRun) const { return this->keys.contains(backendRun); }

    // Forwards an event of a run to its holder.
    std::optional<GrantedRunEnd> handle(TimePoint, BackendEvent);

    // Ends runs whose holder has restarted or no longer gives credit for the answer.
    std::vector<GrantedRunEnd> endAbandonedRuns(TimePoint, const ConfigurationView&);

    // True when a run for this holder is in progress.
    bool hasRunFor(const PeerIdentity& holder) const;

    std::size_t size() const { return this->runs.size(); }

private:
    struct PendingGrant {
        GrantKey key;
        Endpoint holderAddress;
        HttpRequestHead head;
        std::string body;
        bool bodyComplete { false };
        std::chrono::milliseconds remainingDeadline { 0 };
        TimePoint received;
        std::size_t answerCredit { 0 };
    };

    struct Run {
        std::uint64_t backendRun { 0 };
        Endpoint holderAddress;
        std::uint64_t bodyReceived { 0 };
        bool bodyComplete { false };
        std::uint64_t answerSent { 0 };
        std::uint64_t answerCredit { 0 }; // total received from the holder, within the limit
        TimePoint lastHeard; // last message of the holder about this run
    };

    using RunIterator = std::map<GrantKey, Run>::iterator;

    RunIterator find(const char* kind, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim);
    bool sendAnswerHead(const GrantKey&, const Run&, const HttpAnswerHead&);
    bool sendAnswerData(const GrantKey&, Run&, std::string data);
    void sendEnd(const GrantKey&, const Run&, const RunResult&);
    GrantedRunEnd end(RunIterator, RunResult);
    std::optional<GrantedRunEnd> endIfNotSent(bool sent, RunIterator);

    BackendClient& client;
    Metrics& metrics;
    const MessageSender& sendMessage;
    std::optional<PendingGrant> pendingGrant;
    std::map<GrantKey, Run> runs;
    std::unordered_map<std::uint64_t, GrantKey> keys; // by backend run
};

}
