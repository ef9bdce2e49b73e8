#include "PlatformStandin.h"

#include "protocol/Endpoint.h"
#include "support/UserError.h"

#include <chrono>
#include <civetweb.h>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

namespace chicoryferry {

namespace {

using Clock = std::chrono::steady_clock;

// A waiting read occupies one thread, so this limits the number of processes that can wait at the same time.
constexpr const char* workerThreads = "160";

enum class Outage {
    Off,
    Fail,
    Hang,
};

struct StoredDocument {
    std::uint64_t version { 0 };
    std::string text;
};

struct Answer {
    int status { 204 };
    std::string body;
};

std::uint64_t versionOf(const std::string& text, std::uint64_t fallback)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document["version"].is_number_unsigned()) {
        return fallback;
    }
    return document["version"].get<std::uint64_t>();
}

// The stored documents and injected faults, shared by CivetWeb's threads.
class Platform {
public:
    Answer read(const std::string& path, std::uint64_t after, std::chrono::milliseconds wait)
    {
        std::unique_lock lock(this->mutex);
        ++this->calls[path];
        const Clock::time_point deadline = Clock::now() + wait;
        while (true) {
            if (this->outage == Outage::Fail || this->stopping) {
                return { 503, "" };
            }
            if (this->outage == Outage::Hang) {
                this->changed.wait(lock);
                continue;
            }
            if (const StoredDocument* found = this->newer(path, after)) {
                return { 200, found->text };
            }
            if (this->changed.wait_until(lock, deadline) == std::cv_status::timeout && this->outage == Outage::Off) {
                return { 204, "" };
            }
        }
    }

    Answer control(const std::string& name, const std::string& body)
    {
        const std::lock_guard lock(this->mutex);
        if (name == "configuration" || name == "instances") {
            this->store("/v1/" + name, body);
        } else if (name == "outage" && (body == "on" || body == "hang" || body == "off")) {
            this->outage = body == "off" ? Outage::Off : body == "on" ? Outage::Fail : Outage::Hang;
        } else if (name == "stale" && body == "off") {
            this->staleVersion.reset();
        } else if (name == "stale" && !body.empty() && body.find_first_not_of("0123456789") == std::string::npos) {
            this->staleVersion = std::stoull(body);
        } else {
            return { 400, "unknown control or value\n" };
        }
        this->changed.notify_all();
        return { 200, "{}\n" };
    }

    std::string callCounts()
    {
        const std::lock_guard lock(this->mutex);
        return nlohmann::json(this->calls).dump() + "\n";
    }

    void stop()
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }

private:
    void store(const std::string& path, const std::string& text)
    {
        std::vector<StoredDocument>& documents = this->stored[path];
        const std::uint64_t fallback = documents.empty() ? 1 : documents.back().version + 1;
        documents.push_back({ versionOf(text, fallback), text });
    }

    const StoredDocument* newer(const std::string& path, std::uint64_t after)
    {
        const std::vector<StoredDocument>& documents = this->stored[path];
        if (this->staleVersion && path == "/v1/configuration") {
            for (const StoredDocument& document : documents) {
                if (document.version == *this->staleVersion) {
                    return &document;
                }
            }
        }
        return documents.empty() || documents.back().version <= after ? nullptr : &documents.back();
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<StoredDocument>> stored;
    std::map<std::string, std::uint64_t> calls { { "/v1/configuration", 0 }, { "/v1/instances", 0 } };
    Outage outage { Outage::Off };
    std::optional<std::uint64_t> staleVersion;
    bool stopping { false };
};

std::uint64_t queryNumber(const mg_request_info& request, const char* name)
{
    const std::string query = request.query_string == nullptr ? "" : request.query_string;
    std::string value(32, '\0');
    const int length = mg_get_var(query.data(), query.size(), name, value.data(), value.size());
    return length <= 0 ? 0 : std::strtoull(value.c_str(), nullptr, 10);
}

std::string readBody(mg_connection* connection)
{
    std::string body;
    std::string chunk(65536, '\0');
    for (int count = mg_read(connection, chunk.data(), chunk.size()); count > 0;
         count = mg_read(connection, chunk.data(), chunk.size())) {
        body.append(chunk, 0, static_cast<std::size_t>(count));
    }
    return body;
}

int sendAnswer(mg_connection* connection, const Answer& answer)
{
    const std::string head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                                         "Connection: close\r\n\r\n",
        answer.status, mg_get_response_code_text(connection, answer.status), answer.body.size());
    mg_write(connection, head.data(), head.size());
    mg_write(connection, answer.body.data(), answer.body.size());
    return answer.status;
}

int handleRead(mg_connection* connection, void* data)
{
    const mg_request_info& request = *mg_get_request_info(connection);
    const std::chrono::seconds wait(queryNumber(request, "wait"));
    Platform& platform = *static_cast<Platform*>(data);
    return sendAnswer(connection, platform.read(request.local_uri, queryNumber(request, "after"), wait));
}

int handleControl(mg_connection* connection, void* data)
{
    const mg_request_info& request = *mg_get_request_info(connection);
    const std::string name = std::string(request.local_uri).substr(std::string("/control/").size());
    Platform& platform = *static_cast<Platform*>(data);
    if (name == "calls") {
        return sendAnswer(connection, { 200, platform.callCounts() });
    }
    return sendAnswer(connection, platform.control(name, readBody(connection)));
}

Endpoint listenAddress(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2 || arguments[0] != "--listen") {
        throw UserError("parse arguments", "platform", "accepted: --listen a.b.c.d:port");
    }
    return parseEndpoint(arguments[1]);
}

void waitForTermination(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

}

int runPlatformStandin(const std::vector<std::string>& arguments)
{
    const Endpoint listen = listenAddress(arguments);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Platform platform;
    const std::string port = formatEndpoint(listen);
    const char* options[]
        = { "listening_ports", port.c_str(), "num_threads", workerThreads, "request_timeout_ms", "120000", nullptr };
    const mg_callbacks callbacks {};
    mg_init_library(0);
    mg_context* server = mg_start(&callbacks, nullptr, options);
    if (server == nullptr) {
        throw UserError("listen", port, "address cannot be bound");
    }
    mg_set_request_handler(server, "/v1/configuration$", handleRead, &platform);
    mg_set_request_handler(server, "/v1/instances$", handleRead, &platform);
    mg_set_request_handler(server, "/control/*", handleControl, &platform);
    mg_server_port bound {};
    mg_get_server_ports(server, 1, &bound);
    const Endpoint address { listen.address, static_cast<std::uint16_t>(bound.port) };
    fmt::print(stderr, "{{\"event\":\"listening\",\"address\":\"{}\"}}\n", formatEndpoint(address));

    waitForTermination(signals);
    platform.stop();
    mg_stop(server);
    mg_exit_library();
    return 0;
}

}
