#include "protocol/DocumentReader.h"

#include "support/Duration.h"
#include "support/Error.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace chicoryferry {

namespace {

constexpr std::size_t maximumNameLength = 128;

const nlohmann::json emptyObject = nlohmann::json::object();

// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view key)
{
    std::string escaped;
    for (const char character : key) {
        if (character == '~') {
            escaped += "~0";
        } else if (character == '/') {
            escaped += "~1";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

}

DocumentReader::DocumentReader(
    const nlohmann::json& source, std::string path, std::vector<ConfigurationFault>& faultList)
    : object(source.is_object() ? source : emptyObject)
    , objectPath(std::move(path))
    , faults(faultList)
{
    if (!source.is_object()) {
        this->faults.push_back({ this->objectPath, "expected an object" });
    }
}

void DocumentReader::fault(const std::string& field, const std::string& message)
{
    this->faults.push_back({ this->objectPath + "/" + escapePointer(field), message });
}

const nlohmann::json* DocumentReader::find(const char* field, bool required)
{
    const auto found = this->object.find(field);
    if (found != this->object.end()) {
        return &*found;
    }
    if (required) {
        this->fault(field, "missing");
    }
    return nullptr;
}

void DocumentReader::allowOnly(std::initializer_list<std::string_view> names)
{
    for (const auto& [key, value] : this->object.items()) {
        if (std::find(names.begin(), names.end(), key) == names.end()) {
            this->fault(key, fmt::format("unknown field; accepted: {}", fmt::join(names, ", ")));
        }
    }
}

std::string DocumentReader::name(const char* field)
{
    const nlohmann::json* value = this->find(field, true);
    if (!value) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()
        || value->get_ref<const std::string&>().size() > maximumNameLength) {
        this->fault(field, "expected a string of 1 to 128 bytes");
        return {};
    }
    return value->get<std::string>();
}

std::string DocumentReader::text(const char* field, const std::string& defaultValue)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return defaultValue;
    }
    if (!value->is_string()) {
        this->fault(field, "expected a string");
        return defaultValue;
    }
    return value->get<std::string>();
}

std::uint64_t DocumentReader::number(const char* field, std::uint64_t minimum, std::uint64_t maximum)
{
    if (!this->find(field, true)) {
        return minimum;
    }
    return this->number(field, minimum, maximum, minimum);
}

std::uint64_t DocumentReader::number(
    const char* field, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t defaultValue)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return defaultValue;
    }
    if (!value->is_number_unsigned() || *value < minimum || *value > maximum) {
        this->fault(field, fmt::format("expected a whole number from {} to {}", minimum, maximum));
        return defaultValue;
    }
    return value->get<std::uint64_t>();
}

std::optional<bool> DocumentReader::flag(const char* field)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        this->fault(field, "expected true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::chrono::milliseconds DocumentReader::duration(const char* field, std::chrono::milliseconds defaultValue)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return defaultValue;
    }
    try {
        if (value->is_string()) {
            const std::chrono::milliseconds parsed = parseDuration(value->get_ref<const std::string&>());
            if (parsed > std::chrono::milliseconds::zero()) {
                return parsed;
            }
        }
    } catch (const Error&) {
        // Recorded as a fault below, as for every other invalid value.
    }
    this->fault(field, "expected a duration above zero such as \"250ms\", \"5s\", \"10m\" or \"8h\"");
    return defaultValue;
}

Endpoint DocumentReader::endpoint(const char* field)
{
    if (!this->find(field, true)) {
        return {};
    }
    return this->endpoint(field, {});
}

Endpoint DocumentReader::endpoint(const char* field, const Endpoint& defaultValue)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return defaultValue;
    }
    try {
        if (value->is_string()) {
            const Endpoint parsed = parseEndpoint(value->get_ref<const std::string&>());
            if (parsed.port != 0) {
                return parsed;
            }
        }
    } catch (const Error&) {
        // Recorded as a fault below, as for every other invalid value.
    }
    this->fault(field, "expected \"a.b.c.d:port\" with a port from 1 to 65535");
    return defaultValue;
}

std::uint32_t DocumentReader::address(const char* field)
{
    const nlohmann::json* value = this->find(field, true);
    if (!value) {
        return 0;
    }
    try {
        if (value->is_string()) {
            return parseAddress(value->get_ref<const std::string&>());
        }
    } catch (const Error&) {
        // Recorded as a fault below, as for every other invalid value.
    }
    this->fault(field, "expected an IPv4 address \"a.b.c.d\"");
    return 0;
}

std::size_t DocumentReader::choice(const char* field, std::initializer_list<std::string_view> choices)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return 0;
    }
    const auto found = value->is_string()
        ? std::find(choices.begin(), choices.end(), value->get_ref<const std::string&>())
        : choices.end();
    if (found == choices.end()) {
        this->fault(field, fmt::format("expected one of: {}", fmt::join(choices, ", ")));
        return 0;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

std::vector<DocumentReader> DocumentReader::objects(const char* field, bool required)
{
    std::vector<DocumentReader> readers;
    const nlohmann::json* value = this->find(field, required);
    if (!value) {
        return readers;
    }
    if (!value->is_array()) {
        this->fault(field, "expected an array of objects");
        return readers;
    }
    readers.reserve(value->size());
    for (std::size_t index = 0; index < value->size(); ++index) {
        readers.emplace_back((*value)[index], fmt::format("{}/{}/{}", this->objectPath, field, index), this->faults);
    }
    return readers;
}

std::vector<std::string> DocumentReader::texts(const char* field)
{
    std::vector<std::string> values;
    const nlohmann::json* value = this->find(field, true);
    if (!value) {
        return values;
    }
    const auto isString = [](const nlohmann::json& element) { return element.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isString)) {
        this->fault(field, "expected an array of strings");
        return values;
    }
    return value->get<std::vector<std::string>>();
}

std::map<std::string, std::string> DocumentReader::textMap(const char* field)
{
    const nlohmann::json* value = this->find(field, false);
    if (!value) {
        return {};
    }
    const auto isString = [](const nlohmann::json& element) { return element.is_string(); };
    if (!value->is_object() || !std::all_of(value->begin(), value->end(), isString)) {
        this->fault(field, "expected an object whose values are strings");
        return {};
    }
    return value->get<std::map<std::string, std::string>>();
}

}
