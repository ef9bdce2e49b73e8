#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace chicoryferry {

// The canonical form in which a document is hashed and sent to peers: no white space, members sorted by name.
// The platform's formatting is not hashed, because it is lost when a patch is applied.
std::string canonicalText(const nlohmann::json& document);

// Hash of a canonical text. Used to verify that applying a patch produced the sender's document.
std::uint64_t documentHash(std::string_view canonicalText);

// Returns the RFC 6902 patch that transforms `before` into `after`. Elements of top-level arrays are matched by name,
// because matching by position would rewrite every element after an inserted or removed one.
nlohmann::json makePatch(const nlohmann::json& before, const nlohmann::json& after);

}
