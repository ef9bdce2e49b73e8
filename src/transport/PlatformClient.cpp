#include "transport/PlatformClient.h"

#include "protocol/ConfigurationDocument.h"
#include "support/UserError.h"

#include <array>
#include <civetweb.h>
#include <fmt/format.h>
#include <memory>

namespace chicoryferry {

namespace {

constexpr std::size_t readChunkBytes = 65536;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;

// An instance list may be larger than one value of the platform, because it can be put together from several.
constexpr std::size_t maximumListBytes = 64'000'000;

struct ConnectionCloser {
    void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

using Connection = std::unique_ptr<mg_connection, ConnectionCloser>;

std::string readBody(mg_connection& connection, std::size_t limit, const std::string& peer)
{
    const long long expected = mg_get_response_info(&connection)->content_length;
    std::string body;
    std::array<char, readChunkBytes> chunk {};
    while (expected < 0 || body.size() < static_cast<std::size_t>(expected)) {
        const int count = mg_read(&connection, chunk.data(), chunk.size());
        if (count <= 0) {
            break;
        }
        body.append(chunk.data(), static_cast<std::size_t>(count));
        // One byte above the limit is let through, so that the check of the document refuses it with its path.
        if (body.size() > limit + 1) {
            throw UserError("read platform answer", peer, fmt::format("document above {} bytes", limit));
        }
    }
    if (expected >= 0 && body.size() != static_cast<std::size_t>(expected)) {
        throw UserError("read platform answer", peer, "answer is truncated");
    }
    return body;
}

}

PlatformClient::PlatformClient(const Endpoint& platformEndpoint)
    : platform(platformEndpoint)
{
    mg_init_library(0);
}

PlatformClient::~PlatformClient() { mg_exit_library(); }

std::optional<std::string> PlatformClient::read(DocumentKind kind, std::uint64_t after, std::chrono::seconds wait) const
{
    const std::string peer = formatEndpoint(this->platform);
    std::array<char, 256> reason {};
    const Connection connection(mg_connect_client(
        formatAddress(this->platform.address).c_str(), this->platform.port, 0, reason.data(), reason.size()));
    if (!connection) {
        throw UserError("connect to platform", peer, reason.data());
    }
    const std::string request = fmt::format("GET /v1/{}?after={}&wait={} HTTP/1.1\r\nHost: {}\r\nConnection: "
                                            "close\r\n\r\n",
        documentKindName(kind), after, wait.count(), peer);
    if (mg_write(connection.get(), request.data(), request.size()) != static_cast<int>(request.size())) {
        throw UserError("ask platform", peer, "connection closed");
    }
    const auto timeout = std::chrono::milliseconds(wait) + answerTimeout;
    if (mg_get_response(connection.get(), reason.data(), reason.size(), static_cast<int>(timeout.count())) < 0) {
        throw UserError("wait for platform answer", peer, reason.data());
    }
    const int status = mg_get_response_info(connection.get())->status_code;
    if (status == statusNoContent) {
        return std::nullopt;
    }
    if (status != statusOk) {
        throw UserError("read platform answer", peer, fmt::format("status {}", status));
    }
    const std::size_t limit = kind == DocumentKind::Configuration ? maximumDocumentBytes : maximumListBytes;
    return readBody(*connection, limit, peer);
}

}
