#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace chicoryferry {

// The agents that have been asked for the owner of one open flow, and what they have answered.
class OwnerSearch {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Stages of a search in their order.
    enum class Stage {
        Offered, // the agents to which this balancer offered the flow
        Nearest, // those at which a balancer of this availability zone would place the flow
        EachZone, // those at which any balancer would place the flow
        All,
    };

    Stage stage() const { return this->currentStage; }

    // Enters the stage without asking anyone; its step is complete at once.
    void enter(Stage, TimePoint now);

    // Returns those of the agents that have not been asked.
    std::vector<Endpoint> unasked(std::span<const Endpoint> agents) const;

    // Records that the agents are asked; their answers are awaited until the deadline.
    void ask(std::span<const Endpoint> agents, TimePoint deadline);

    // Returns the agents whose answers are overdue for the first time, and awaits them until the deadline.
    std::vector<Endpoint> askAgain(TimePoint deadline);

    // Returns up to `count` agents that may hold the flow and have not got a packet on trial, and awaits their answers
    // until the deadline.
    std::vector<Endpoint> startTrials(std::size_t count, TimePoint deadline);

    // Agents whose answer to a packet on trial is outstanding.
    std::vector<Endpoint> onTrial() const;

    // Whether agents may hold the flow that have not got a packet on trial.
    bool hasUncertain() const;

    // The agent does not hold the flow.
    void recordAbsence(const Endpoint& agent);

    // The agent's backend server may hold the flow; only a packet on trial tells.
    void recordUncertainty(const Endpoint& agent);

    // Whether the answers awaited in the present step have arrived, or are overdue.
    bool isStepComplete(TimePoint now) const;
    TimePoint deadline() const { return this->stepDeadline; }

    // Extends the deadline if a single trial is unanswered. Its backend server has not returned the packet and
    // therefore probably works on it. Returns whether the deadline has changed.
    bool extendSingleTrial(TimePoint deadline);

    // Whether each of the agents has answered that it does not hold the flow.
    bool isAbsentFrom(std::span<const Endpoint> agents) const;

private:
    enum class Answer {
        Outstanding,
        Absent,
        Uncertain, // the agent may hold the flow
        OnTrial, // a packet was sent to it on trial
    };

    struct Asked {
        Endpoint agent;
        Answer answer { Answer::Outstanding };
        bool awaited { true }; // in the present step
        bool askedAgain { false };
    };

    Asked* find(const Endpoint& agent);
    static bool isAwaited(const Asked&);

    Stage currentStage { Stage::Offered };
    TimePoint stepDeadline;
    std::vector<Asked> asked; // most likely owners first
    std::map<Endpoint, std::size_t> positions; // in `asked`
};

}
