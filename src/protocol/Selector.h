#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryferry {

// key=value, key==value, key in (a,b): the label is present with one of the values.
struct LabelIn {
    std::string key;
    std::vector<std::string> values;
};

// key!=value, key notin (a,b): the label is absent or has none of the values.
struct LabelNotIn {
    std::string key;
    std::vector<std::string> values;
};

// key: the label is present.
struct LabelExists {
    std::string key;
};

// !key: the label is absent.
struct LabelAbsent {
    std::string key;
};

using Requirement = std::variant<LabelIn, LabelNotIn, LabelExists, LabelAbsent>;

// A conjunction of requirements on labels. An empty selector matches every label set.
class Selector {
public:
    Selector() = default;

    // Parses the grammar above, requirements separated by commas. Throws UserError with the position of a syntax error.
    static Selector parse(std::string_view text);

    bool matches(const std::map<std::string, std::string>& labels) const;

    const std::vector<Requirement>& requirements() const { return this->parsedRequirements; }

private:
    std::vector<Requirement> parsedRequirements;
};

}
