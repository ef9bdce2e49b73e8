#include "coordination/OwnerSearch.h"

#include <algorithm>

namespace chicoryferry {

OwnerSearch::Asked* OwnerSearch::find(const Endpoint& agent)
{
    const auto found = this->positions.find(agent);
    return found == this->positions.end() ? nullptr : &this->asked[found->second];
}

bool OwnerSearch::isAwaited(const Asked& item)
{
    return item.awaited && (item.answer == Answer::Outstanding || item.answer == Answer::OnTrial);
}

void OwnerSearch::enter(Stage next, TimePoint now)
{
    this->currentStage = next;
    this->stepDeadline = now;
    for (Asked& item : this->asked) {
        item.awaited = false;
    }
}

std::vector<Endpoint> OwnerSearch::unasked(std::span<const Endpoint> agents) const
{
    std::vector<Endpoint> remaining;
    for (const Endpoint& agent : agents) {
        if (!this->positions.contains(agent)) {
            remaining.push_back(agent);
        }
    }
    return remaining;
}

void OwnerSearch::ask(std::span<const Endpoint> agents, TimePoint deadline)
{
    this->stepDeadline = deadline;
    for (const Endpoint& agent : agents) {
        if (this->positions.emplace(agent, this->asked.size()).second) {
            this->asked.push_back({ agent });
        }
    }
}

std::vector<Endpoint> OwnerSearch::askAgain(TimePoint deadline)
{
    std::vector<Endpoint> agents;
    for (Asked& item : this->asked) {
        if (item.awaited && item.answer == Answer::Outstanding && !item.askedAgain) {
            item.askedAgain = true;
            agents.push_back(item.agent);
        }
    }
    if (!agents.empty()) {
        this->stepDeadline = deadline;
    }
    return agents;
}

std::vector<Endpoint> OwnerSearch::startTrials(std::size_t count, TimePoint deadline)
{
    std::vector<Endpoint> agents;
    for (Asked& item : this->asked) {
        if (item.answer == Answer::Uncertain && agents.size() < count) {
            item.answer = Answer::OnTrial;
            item.awaited = true;
            agents.push_back(item.agent);
        }
    }
    if (!agents.empty()) {
        this->stepDeadline = deadline;
    }
    return agents;
}

std::vector<Endpoint> OwnerSearch::onTrial() const
{
    std::vector<Endpoint> agents;
    for (const Asked& item : this->asked) {
        if (item.answer == Answer::OnTrial) {
            agents.push_back(item.agent);
        }
    }
    return agents;
}

bool OwnerSearch::hasUncertain() const
{
    return std::any_of(
        this->asked.begin(), this->asked.end(), [](const Asked& item) { return item.answer == Answer::Uncertain; });
}

void OwnerSearch::recordAbsence(const Endpoint& agent)
{
    if (Asked* item = this->find(agent)) {
        item->answer = Answer::Absent;
    }
}

void OwnerSearch::recordUncertainty(const Endpoint& agent)
{
    Asked* item = this->find(agent);
    if (item != nullptr && item->answer == Answer::Outstanding) {
        item->answer = Answer::Uncertain;
    }
}

bool OwnerSearch::isStepComplete(TimePoint now) const
{
    return now >= this->stepDeadline || std::none_of(this->asked.begin(), this->asked.end(), isAwaited);
}

bool OwnerSearch::extendSingleTrial(TimePoint deadline)
{
    const auto isOnTrial = [](const Asked& item) { return item.awaited && item.answer == Answer::OnTrial; };
    const bool single = std::count_if(this->asked.begin(), this->asked.end(), isOnTrial) == 1
        && std::count_if(this->asked.begin(), this->asked.end(), isAwaited) == 1;
    if (!single || this->stepDeadline >= deadline) {
        return false;
    }
    this->stepDeadline = deadline;
    return true;
}

bool OwnerSearch::isAbsentFrom(std::span<const Endpoint> agents) const
{
    return std::all_of(agents.begin(), agents.end(), [this](const Endpoint& agent) {
        const auto found = this->positions.find(agent);
        return found != this->positions.end() && this->asked[found->second].answer == Answer::Absent;
    });
}

}
