#pragma once

#include "protocol/DocumentKind.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chicoryferry {

// Reads and watches the platform's documents over HTTP. Blocking; use one object per thread.
class PlatformClient {
public:
    explicit PlatformClient(const Endpoint& platform);

    // Returns the document when its version is above `after`, or nothing when none appeared within the wait. Blocks
    // for at most the wait plus answerTimeout. Throws UserError with the step and the platform's address when the
    // platform cannot be reached, answers late, with another status, or with a document above the size limit.
    std::optional<std::string> read(DocumentKind, std::uint64_t after, std::chrono::seconds wait) const;

    // The time that an answer may take beyond the requested wait.
    static constexpr std::chrono::milliseconds answerTimeout { 1000 };

private:
    Endpoint platform;
};

}
