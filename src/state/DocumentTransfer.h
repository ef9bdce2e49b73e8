#pragma once

#include <cstdint>
#include <string>

namespace chicoryferry {

// A document or patch sent between processes; encoded on the wire as wire::Document.
struct DocumentTransfer {
    std::uint64_t version { 0 };
    std::string content; // JSON: the whole document, or an RFC 6902 patch against baseVersion
    std::uint64_t baseVersion { 0 }; // 0 when content is the whole document
    std::uint64_t contentHash { 0 }; // documentHash() of the whole resulting document
};

}
