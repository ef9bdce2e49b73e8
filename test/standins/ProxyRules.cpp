#include "ProxyRules.h"

#include <algorithm>

namespace chicoryferry::standins {

namespace {

std::vector<std::string> namesIn(const nlohmann::json& rule, const std::string& field)
{
    if (!rule.contains(field)) {
        return {};
    }
    const nlohmann::json& value = rule.at(field);
    return value.is_string() ? std::vector<std::string> { value.get<std::string>() }
                             : value.get<std::vector<std::string>>();
}

bool isAnyOf(const std::vector<std::string>& names, const std::string& name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

}

void ProxyRules::configure(const nlohmann::json& request)
{
    if (request.contains("seed")) {
        this->random.seed(request.at("seed").get<std::uint64_t>());
    }
    std::vector<Rule> parsed;
    for (const nlohmann::json& described : request.at("rules")) {
        Rule rule;
        rule.from = namesIn(described, "from");
        rule.to = namesIn(described, "to");
        rule.kinds = namesIn(described, "kinds");
        rule.direction = described.value("direction", "both");
        rule.drop = described.value("drop", 0.0);
        rule.duplicate = described.value("duplicate", 0.0);
        const auto delay = described.value("delayMs", std::vector<double> { 0.0, 0.0 });
        rule.minimumDelay = Duration(static_cast<std::int64_t>(delay.at(0) * 1000));
        rule.maximumDelay = Duration(static_cast<std::int64_t>(delay.at(1) * 1000));
        parsed.push_back(std::move(rule));
    }
    this->rules = std::move(parsed);
}

bool ProxyRules::matches(const Rule& rule, const ProxiedItem& item)
{
    const bool direction = rule.direction == "both" || rule.direction == (item.fromTarget ? "back" : "forward");
    return direction && isAnyOf(rule.from, item.from) && isAnyOf(rule.to, item.to) && isAnyOf(rule.kinds, item.kind);
}

std::vector<ProxyRules::Duration> ProxyRules::decide(const ProxiedItem& item)
{
    const auto rule = std::find_if(
        this->rules.begin(), this->rules.end(), [&](const Rule& candidate) { return matches(candidate, item); });
    if (rule == this->rules.end()) {
        return { Duration(0) };
    }
    if (this->drawWithProbability(rule->drop)) {
        ++rule->dropped;
        return {};
    }
    ++rule->passed;
    std::vector<Duration> copies { this->randomDelay(*rule) };
    if (this->drawWithProbability(rule->duplicate)) {
        copies.push_back(this->randomDelay(*rule));
    }
    return copies;
}

nlohmann::json ProxyRules::counts() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Rule& rule : this->rules) {
        list.push_back({ { "dropped", rule.dropped }, { "passed", rule.passed } });
    }
    return { { "rules", list } };
}

bool ProxyRules::drawWithProbability(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

ProxyRules::Duration ProxyRules::randomDelay(const Rule& rule)
{
    const std::int64_t spread = (rule.maximumDelay - rule.minimumDelay).count();
    return rule.minimumDelay
        + Duration(spread > 0 ? std::uniform_int_distribution<std::int64_t>(0, spread)(this->random) : 0);
}

}
