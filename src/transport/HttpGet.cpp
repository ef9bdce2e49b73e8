#include "transport/HttpGet.h"

#include "support/UserError.h"

#include <array>
#include <civetweb.h>
#include <fmt/format.h>
#include <memory>

namespace chicoryferry {

namespace {

constexpr std::size_t readChunkBytes = 65536;

// CivetWeb counts the users of its global state.
class CivetWebLibrary {
public:
    CivetWebLibrary() { mg_init_library(0); }
    ~CivetWebLibrary() { mg_exit_library(); }
    CivetWebLibrary(const CivetWebLibrary&) = delete;
    CivetWebLibrary& operator=(const CivetWebLibrary&) = delete;
};

struct ConnectionCloser {
    void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

std::string readBody(mg_connection& connection, std::size_t maximumBytes, const std::string& peer)
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
        if (body.size() > maximumBytes) {
            throw UserError("read answer", peer, fmt::format("body above {} bytes", maximumBytes));
        }
    }
    if (expected >= 0 && body.size() != static_cast<std::size_t>(expected)) {
        throw UserError("read answer", peer, "answer is truncated");
    }
    return body;
}

}

HttpGetAnswer httpGet(
    const Endpoint& endpoint, const std::string& target, std::size_t maximumBytes, std::chrono::milliseconds timeout)
{
    const CivetWebLibrary library;
    const std::string peer = formatEndpoint(endpoint);
    std::array<char, 256> reason {};
    const std::unique_ptr<mg_connection, ConnectionCloser> connection(
        mg_connect_client(formatAddress(endpoint.address).c_str(), endpoint.port, 0, reason.data(), reason.size()));
    if (!connection) {
        throw UserError("connect", peer, reason.data());
    }
    const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", target, peer);
    if (mg_write(connection.get(), request.data(), request.size()) != static_cast<int>(request.size())) {
        throw UserError("send request", peer, "connection closed");
    }
    const int timeoutMs = static_cast<int>(timeout.count());
    if (mg_get_response(connection.get(), reason.data(), reason.size(), timeoutMs) < 0) {
        throw UserError("wait for answer", peer, reason.data());
    }
    const int status = mg_get_response_info(connection.get())->status_code;
    return { status, readBody(*connection, maximumBytes, peer) };
}

}
