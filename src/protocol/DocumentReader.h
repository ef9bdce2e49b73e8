#pragma once

#include "protocol/ConfigurationFault.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

// Reads typed values out of one JSON object and collects a fault, with its path, for each value that is missing,
// of another type or out of range, so that one pass finds every fault of a document.
class DocumentReader {
public:
    // path: JSON pointer of the object. The object and the fault list must outlive this reader.
    DocumentReader(const nlohmann::json& object, std::string path, std::vector<ConfigurationFault>& faults);

    // Adds a fault for each field with another name.
    void allowOnly(std::initializer_list<std::string_view> names);

    // Missing values give a fault and the empty value, except in the optional forms.
    std::string name(const char* field);
    std::string text(const char* field, const std::string& missing);
    std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t missing);
    std::optional<bool> flag(const char* field);
    std::chrono::milliseconds duration(const char* field, std::chrono::milliseconds missing);
    Endpoint endpoint(const char* field);
    Endpoint endpoint(const char* field, const Endpoint& missing);
    std::uint32_t address(const char* field);

    // The index of the value among the choices; the first choice when the field is missing.
    std::size_t choice(const char* field, std::initializer_list<std::string_view> choices);

    // One reader for each element of an array of objects; empty when the field is missing and not required.
    std::vector<DocumentReader> objects(const char* field, bool required);

    // The strings of an array.
    std::vector<std::string> texts(const char* field);

    // The members of an object whose values are strings.
    std::map<std::string, std::string> textMap(const char* field);

    void fault(const std::string& field, const std::string& message);

    const std::string& path() const { return this->objectPath; }

private:
    const nlohmann::json* find(const char* field, bool required);

    const nlohmann::json& object;
    std::string objectPath;
    std::vector<ConfigurationFault>& faults;
};

}
