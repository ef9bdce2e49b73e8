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

// Reads typed values from a JSON object. Records a fault with its path for each value that is missing, of the wrong
// type or out of range, so that one pass finds all faults of a document.
class DocumentReader {
public:
    // path: JSON pointer to the object. The object and the fault list must outlive this reader.
    DocumentReader(const nlohmann::json& object, std::string path, std::vector<ConfigurationFault>& faults);

    // Records a fault for each field whose name is not among the names.
    void allowOnly(std::initializer_list<std::string_view> names);

    // Functions with a parameter `defaultValue` return it if the value is missing; flag() returns nothing. In the
    // others, a missing value is a fault, and an empty value or the minimum is returned. name() requires 1 to 128
    // bytes.
    std::string name(const char* field);
    std::string text(const char* field, const std::string& defaultValue);
    std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t defaultValue);
    std::optional<bool> flag(const char* field);
    std::chrono::milliseconds duration(const char* field, std::chrono::milliseconds defaultValue);
    Endpoint endpoint(const char* field);
    Endpoint endpoint(const char* field, const Endpoint& defaultValue);
    std::uint32_t address(const char* field);

    // Returns the index of the value among the choices, or 0 when the field is missing.
    std::size_t choice(const char* field, std::initializer_list<std::string_view> choices);

    // Returns one reader for each element of an array of objects. A missing array is read as empty, and is a fault if
    // required.
    std::vector<DocumentReader> objects(const char* field, bool required);

    // Returns the elements of a required array of strings.
    std::vector<std::string> texts(const char* field);

    // Returns the members of an optional object whose values are strings.
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
