#include "transport/PlatformClient.h"

#include "protocol/ConfigurationDocument.h"
#include "support/UserError.h"
#include "transport/HttpGet.h"

#include <fmt/format.h>

namespace chicoryferry {

namespace {

constexpr int statusOk = 200;
constexpr int statusNoContent = 204;

// Large enough for the list of all instances at the size that the system is designed for.
constexpr std::size_t maximumListBytes = 32'000'000;

}

PlatformClient::PlatformClient(const Endpoint& platformEndpoint)
    : platform(platformEndpoint)
{
}

std::optional<std::string> PlatformClient::read(DocumentKind kind, std::uint64_t after, std::chrono::seconds wait) const
{
    // Allows one byte above the limit, so that the document check refuses an oversized document and logs the reason.
    const std::size_t limit = kind == DocumentKind::Configuration ? maximumDocumentBytes + 1 : maximumListBytes;
    const std::string target = fmt::format("/v1/{}?after={}&wait={}", documentKindName(kind), after, wait.count());
    HttpGetAnswer answer = httpGet(this->platform, target, limit, std::chrono::milliseconds(wait) + answerTimeout);
    if (answer.status == statusNoContent) {
        return std::nullopt;
    }
    if (answer.status != statusOk) {
        throw UserError("read platform answer", formatEndpoint(this->platform),
            fmt::format("unexpected HTTP status {}", answer.status));
    }
    return std::move(answer.body);
}

}
