#pragma once

#include "protocol/Configuration.h"

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace chicoryferry {

// Documents above this size are refused; it is the largest value that the platform holds.
inline constexpr std::size_t maximumDocumentBytes = 1'000'000;

// Parses and checks a configuration document (JSON, design section 5.1) as a whole.
// Throws ConfigurationError with the path of each fault.
Configuration parseConfiguration(std::string_view text);

// The same for a document that is parsed already; the size of its text is not checked.
Configuration checkConfiguration(const nlohmann::json& document);

}
