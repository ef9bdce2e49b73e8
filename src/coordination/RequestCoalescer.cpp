#include "coordination/RequestCoalescer.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// A held-back leader waits for this many times the expected run time, but at least for minHoldBack. The run in progress
// is then considered stuck, and the leader no longer waits for it.
constexpr int stuckFactor = 4;
constexpr std::chrono::milliseconds minHoldBack { 100 };

}

std::string RequestCoalescer::keyOf(const RequestDescription& description)
{
    return description.service + '\n' + description.callerGroup + '\n' + description.method + '\n' + description.target;
}

RequestCoalescer::Role RequestCoalescer::arrived(
    TimePoint now, const RequestDescription& description, std::chrono::microseconds expectedRun)
{
    if (!description.route.shareable || description.idempotencyKey) {
        return Role::Alone;
    }
    const std::string key = keyOf(description);
    Group& group = this->groups[key];
    if (group.waiting) {
        group.followers[*group.waiting].push_back(description.request);
        this->leaderOf[description.request] = *group.waiting;
        return Role::Follower;
    }
    group.waiting = description.request;
    group.heldBack = !group.running.empty();
    group.releaseAt = now + std::max<std::chrono::microseconds>(expectedRun * stuckFactor, minHoldBack);
    this->keyOfLeader[description.request] = key;
    return group.heldBack ? Role::HeldBack : Role::Leader;
}

std::vector<std::uint64_t> RequestCoalescer::started(TimePoint /*now*/, std::uint64_t leader)
{
    const auto key = this->keyOfLeader.find(leader);
    if (key == this->keyOfLeader.end()) {
        return {};
    }
    Group& group = this->groups.at(key->second);
    if (group.waiting == leader) {
        group.waiting.reset();
        group.heldBack = false;
        group.running.push_back(leader);
    }
    return group.followers[leader];
}

std::optional<std::uint64_t> RequestCoalescer::ended(std::uint64_t leader)
{
    const auto key = this->keyOfLeader.find(leader);
    if (key == this->keyOfLeader.end()) {
        return std::nullopt;
    }
    const auto entry = this->groups.find(key->second);
    Group& group = entry->second;
    for (const std::uint64_t follower : group.followers[leader]) {
        this->leaderOf.erase(follower);
    }
    group.followers.erase(leader);
    std::erase(group.running, leader);
    if (group.waiting == leader) {
        group.waiting.reset();
        group.heldBack = false;
    }
    this->keyOfLeader.erase(key);
    std::optional<std::uint64_t> next;
    if (group.running.empty() && group.waiting && group.heldBack) {
        group.heldBack = false;
        next = group.waiting;
    }
    if (group.running.empty() && !group.waiting) {
        this->groups.erase(entry);
    }
    return next;
}

void RequestCoalescer::followerGone(std::uint64_t request)
{
    const auto leader = this->leaderOf.find(request);
    if (leader != this->leaderOf.end()) {
        Group& group = this->groups.at(this->keyOfLeader.at(leader->second));
        std::erase(group.followers[leader->second], request);
        this->leaderOf.erase(leader);
    }
}

std::optional<std::uint64_t> RequestCoalescer::leaderFor(std::uint64_t follower) const
{
    const auto leader = this->leaderOf.find(follower);
    return leader == this->leaderOf.end() ? std::nullopt : std::optional(leader->second);
}

std::optional<std::uint64_t> RequestCoalescer::promote(std::uint64_t leader)
{
    const auto key = this->keyOfLeader.find(leader);
    if (key == this->keyOfLeader.end()) {
        return std::nullopt;
    }
    Group& group = this->groups.at(key->second);
    std::vector<std::uint64_t> followers = group.followers[leader];
    if (group.waiting != leader || followers.empty()) {
        return std::nullopt;
    }
    const std::uint64_t promoted = followers.front();
    followers.erase(followers.begin());
    for (const std::uint64_t follower : followers) {
        this->leaderOf[follower] = promoted;
    }
    this->leaderOf.erase(promoted);
    this->keyOfLeader[promoted] = key->second;
    group.followers.erase(leader);
    group.followers[promoted] = std::move(followers);
    group.waiting = promoted;
    this->keyOfLeader.erase(key);
    return promoted;
}

std::vector<std::uint64_t> RequestCoalescer::followersOf(std::uint64_t leader) const
{
    const auto key = this->keyOfLeader.find(leader);
    if (key == this->keyOfLeader.end()) {
        return {};
    }
    const Group& group = this->groups.at(key->second);
    const auto followers = group.followers.find(leader);
    return followers == group.followers.end() ? std::vector<std::uint64_t>() : followers->second;
}

std::vector<std::uint64_t> RequestCoalescer::releaseOverdue(TimePoint now)
{
    std::vector<std::uint64_t> released;
    for (auto& [key, group] : this->groups) {
        if (group.waiting && group.heldBack && group.releaseAt <= now) {
            group.heldBack = false;
            released.push_back(*group.waiting);
        }
    }
    return released;
}

}
