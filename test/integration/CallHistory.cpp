#include "CallHistory.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace chicoryferry::integration {

void CallHistory::add(Call call)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->recorded.push_back(std::move(call));
}

std::vector<Call> CallHistory::calls() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->recorded;
}

std::size_t CallHistory::countStatus(unsigned status) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->recorded.begin(), this->recorded.end(),
        [status](const Call& call) { return call.answer.complete && call.answer.status == status; }));
}

std::size_t CallHistory::countIncomplete() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::size_t>(std::count_if(
        this->recorded.begin(), this->recorded.end(), [](const Call& call) { return !call.answer.complete; }));
}

std::string CallHistory::summary() const
{
    std::map<std::string, std::size_t> counts;
    for (const Call& call : this->calls()) {
        const HttpAnswer& answer = call.answer;
        ++counts[fmt::format("{} status {} {} {} {}", call.service, answer.status,
            answer.header("chicoryferry-outcome"), answer.header("chicoryferry-reason"), answer.failure)];
    }
    std::string text;
    for (const auto& [kind, count] : counts) {
        text += fmt::format("{:6} {}\n", count, kind);
    }
    return text;
}

std::string CallHistory::nextId()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return fmt::format("call-{}", ++this->lastId);
}

}
