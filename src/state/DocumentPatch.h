#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace chicoryferry {

// The form of a document that is hashed and passed on: no white space, members sorted by name. The platform's own
// formatting would not survive a patch.
std::string canonicalText(const nlohmann::json& document);

// Hash of a canonical text; shows that a patch gave the document that its sender has.
std::uint64_t documentHash(std::string_view canonicalText);

// The RFC 6902 patch that turns one document into the other. Elements of the top-level arrays are matched by their
// name, because a match by position would rewrite every element behind an inserted or removed one.
nlohmann::json makePatch(const nlohmann::json& before, const nlohmann::json& after);

}
