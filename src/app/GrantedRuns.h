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

// Names one granted run among all holders.
struct GrantKey {
    PeerIdentity holder;
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };

    auto operator<=>(const GrantKey&) const = default;
};

// A granted run that ended on its own; not one that was cancelled.
struct GrantedRunEnd {
    GrantKey key;
    RunResult result;
};

// The claimer's side of granted requests: runs them on the own backend server and sends the answers to the holders.
// The answer waits for the holder's credit, so that memory is bounded.
class GrantedRuns {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;

    GrantedRuns(BackendClient&, Metrics&, const MessageSender&);

    // Keeps a grant until placement decides on it. Returns false when the grant is a repeat of a run in progress, or
    // cannot be run; it is counted then and must not reach placement.
    bool keepGrant(TimePoint, const PeerIdentity& holder, const Endpoint& holderAddress, const wire::Grant&);

    // Drops the grant that placement did not turn into a run.
    void dropKeptGrant() { this->keptGrant.reset(); }

    // Returns false when there is no such grant.
    bool start(TimePoint, const RunPeerRequest&);

    // Messages of holders; those that concern no run in progress are dropped and counted.
    std::optional<GrantedRunEnd> bodyReceived(TimePoint, const PeerIdentity& holder, const wire::RequestBody&);
    void creditReceived(TimePoint, const PeerIdentity& holder, const wire::AnswerCredit&);

    // Stops the run, which frees nothing at the holder: no message is sent.
    bool cancel(const GrantKey&);

    bool ownsRun(std::uint64_t backendRun) const { return this->keys.contains(backendRun); }

    // Carries an event of a run to its holder.
    std::optional<GrantedRunEnd> handle(TimePoint, BackendEvent);

    // Ends runs whose holder restarted or takes no more of the answer.
    std::vector<GrantedRunEnd> endAbandonedRuns(TimePoint, const ConfigurationView&);

    // True when a run for this holder is in progress.
    bool hasRunFor(const PeerIdentity& holder) const;

    std::size_t size() const { return this->runs.size(); }

private:
    struct KeptGrant {
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
        std::uint64_t answerCredit { 0 }; // total given
        TimePoint lastHeard; // of the holder, concerning this run
    };

    using RunIterator = std::map<GrantKey, Run>::iterator;

    RunIterator find(const char* kind, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim);
    bool sendAnswerHead(const GrantKey&, const Run&, const HttpAnswerHead&);
    bool sendAnswerData(const GrantKey&, Run&, std::string data);
    void sendEnd(const GrantKey&, const Run&, const RunResult&);
    GrantedRunEnd end(RunIterator, RunResult);
    std::optional<GrantedRunEnd> endUnless(bool sent, RunIterator);

    BackendClient& client;
    Metrics& metrics;
    const MessageSender& sendMessage;
    std::optional<KeptGrant> keptGrant;
    std::map<GrantKey, Run> runs;
    std::unordered_map<std::uint64_t, GrantKey> keys; // by backend run
};

}
