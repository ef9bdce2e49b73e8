#pragma once

#include "protocol/Configuration.h"

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace chicoryferry {

// Larger documents are rejected. This is the largest value that the platform can store.
inline constexpr std::size_t maximumDocumentBytes = 1'000'000;

// Parses and validates a whole configuration document (JSON, design section 5.1). Throws ConfigurationError with the
// path of each fault.
Configuration parseConfiguration(std::string_view text);

// The same for a document that has already been parsed; the size of its text is not checked.
Configuration checkConfiguration(const nlohmann::json& document);

}
