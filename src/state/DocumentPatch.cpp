#include "state/DocumentPatch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>
#include <xxhash.h>

namespace chicoryferry {

namespace {

using Json = nlohmann::json;

void append(Json& patch, const Json& operations) { patch.insert(patch.end(), operations.begin(), operations.end()); }

// Prepends `path` to the paths of a patch that was computed for a nested value.
Json prefixPaths(Json operations, const std::string& path)
{
    for (Json& operation : operations) {
        operation["path"] = path + operation["path"].get<std::string>();
    }
    return operations;
}

// The names of the elements in order; empty when an element has no name or names are not unique.
std::vector<std::string> elementNames(const Json& array)
{
    std::vector<std::string> names;
    std::unordered_set<std::string> seen;
    for (const Json& element : array) {
        const auto name = element.is_object() ? element.find("name") : element.end();
        if (!element.is_object() || name == element.end() || !name->is_string()
            || !seen.insert(name->get<std::string>()).second) {
            return {};
        }
        names.push_back(name->get<std::string>());
    }
    return names;
}

// Names that both lists contain, in the order of the first list.
std::vector<std::string> commonNames(const std::vector<std::string>& names, const std::vector<std::string>& others)
{
    const std::unordered_set<std::string> known(others.begin(), others.end());
    std::vector<std::string> both;
    std::copy_if(names.begin(), names.end(), std::back_inserter(both),
        [&](const std::string& name) { return known.contains(name); });
    return both;
}

void appendRemovals(
    Json& patch, const std::vector<std::string>& names, const std::vector<std::string>& kept, const std::string& path)
{
    const std::unordered_set<std::string> keptNames(kept.begin(), kept.end());
    // Removes from the end, so that a removal does not shift the positions of the elements still to be removed.
    for (std::size_t index = names.size(); index-- > 0;) {
        if (!keptNames.contains(names[index])) {
            patch.push_back({ { "op", "remove" }, { "path", path + "/" + std::to_string(index) } });
        }
    }
}

// Appends the operations for arrays of named elements. Returns false when the elements cannot be matched by name.
bool appendNamedArray(Json& patch, const Json& before, const Json& after, const std::string& path)
{
    const std::vector<std::string> oldNames = elementNames(before);
    const std::vector<std::string> newNames = elementNames(after);
    const std::vector<std::string> kept = commonNames(oldNames, newNames);
    if (oldNames.empty() || newNames.empty() || kept != commonNames(newNames, oldNames)) {
        return false;
    }
    appendRemovals(patch, oldNames, kept, path);
    std::unordered_map<std::string, const Json*> oldElements;
    for (std::size_t index = 0; index < oldNames.size(); ++index) {
        oldElements.emplace(oldNames[index], &before[index]);
    }
    for (std::size_t index = 0; index < newNames.size(); ++index) {
        const std::string position = path + "/" + std::to_string(index);
        const auto old = oldElements.find(newNames[index]);
        if (old == oldElements.end()) {
            patch.push_back({ { "op", "add" }, { "path", position }, { "value", after[index] } });
        } else if (*old->second != after[index]) {
            append(patch, prefixPaths(Json::diff(*old->second, after[index]), position));
        }
    }
    return true;
}

}

std::string canonicalText(const Json& document)
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t documentHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

Json makePatch(const Json& before, const Json& after)
{
    Json patch = Json::array();
    if (!before.is_object() || !after.is_object()) {
        return Json::diff(before, after);
    }
    Json oldRest = Json::object();
    Json newRest = Json::object();
    for (const auto& [field, value] : before.items()) {
        const auto other = after.find(field);
        const bool arrays = value.is_array() && other != after.end() && other->is_array();
        if (arrays && appendNamedArray(patch, value, *other, "/" + field)) {
            continue;
        }
        oldRest[field] = value;
        if (other != after.end()) {
            newRest[field] = *other;
        }
    }
    for (const auto& [field, value] : after.items()) {
        if (!before.contains(field)) {
            newRest[field] = value;
        }
    }
    append(patch, Json::diff(oldRest, newRest));
    return patch;
}

}
