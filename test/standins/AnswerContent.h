#pragma once

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace chicoryferry::standins {

// Body size of an answer whose target has no `size` parameter.
inline constexpr std::uint64_t defaultAnswerBytes = 1000;

inline std::uint64_t contentHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

// The values that determine the answer to one request.
struct AnswerIdentity {
    std::string service;
    std::string target;
    std::uint64_t bodyHash { 0 };

    std::uint64_t hash() const
    {
        return contentHash(fmt::format("{}\n{}\n{:016x}", this->service, this->target, this->bodyHash));
    }
};

// Generates part of an answer's body. Each line of 64 bytes holds the service, the identity's hash and the line's
// offset, so that a test detects an answer that belongs to another request, is shifted or is truncated.
inline std::string answerContent(const AnswerIdentity& identity, std::uint64_t offset, std::uint64_t bytes)
{
    constexpr std::uint64_t lineBytes = 64;
    const std::uint64_t hash = identity.hash();
    const std::uint64_t skipped = offset % lineBytes;
    std::string content;
    content.reserve(bytes + 2 * lineBytes);
    for (std::uint64_t line = offset - skipped; content.size() < skipped + bytes; line += lineBytes) {
        content += fmt::format("{:<24.24} {:016x} {:021}\n", identity.service, hash, line);
    }
    return content.substr(skipped, bytes);
}

// Returns the value of a query parameter of a target; empty when it is absent.
inline std::string queryValue(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (item.substr(0, equals) == name && equals != std::string_view::npos) {
            return std::string(item.substr(equals + 1));
        }
    }
    return {};
}

// Returns the size of the answer's body that the target requests.
inline std::uint64_t answerBytes(std::string_view target)
{
    const std::string size = queryValue(target, "size");
    return size.empty() ? defaultAnswerBytes : std::stoull(size);
}

}
