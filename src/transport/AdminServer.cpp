#include "transport/AdminServer.h"

#include "support/Metrics.h"
#include "support/UserError.h"

#include <civetweb.h>
#include <fmt/format.h>

namespace chicoryferry {

namespace {

// Operators and scrapers send few requests; each thread costs about 45 KB.
constexpr const char* workerThreads = "2";
constexpr const char* requestTimeoutMs = "2000";

constexpr int statusOk = 200;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusUnavailable = 503;

int sendAnswer(mg_connection* connection, int status, const char* type, const std::string& body)
{
    const std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: "
        "close\r\n\r\n",
        status, mg_get_response_code_text(connection, status), type, body.size());
    mg_write(connection, head.data(), head.size());
    if (std::string_view(mg_get_request_info(connection)->request_method) != "HEAD") {
        mg_write(connection, body.data(), body.size());
    }
    return status;
}

bool isGetOrHead(mg_connection* connection)
{
    const std::string_view method = mg_get_request_info(connection)->request_method;
    return method == "GET" || method == "HEAD";
}

int sendMethodNotAllowed(mg_connection* connection)
{
    return sendAnswer(connection, statusMethodNotAllowed, "text/plain", "accepted: GET, HEAD\n");
}

}

class AdminServer::Implementation {
public:
    Implementation(const std::vector<Endpoint>& listen, const Metrics& processMetrics, Source processSource)
        : metrics(processMetrics)
        , source(std::move(processSource))
    {
        std::string addresses;
        for (const Endpoint& endpoint : listen) {
            addresses.append(addresses.empty() ? "" : ",").append(formatEndpoint(endpoint));
        }
        const char* options[] = { "listening_ports", addresses.c_str(), "num_threads", workerThreads,
            "request_timeout_ms", requestTimeoutMs, nullptr };
        const mg_callbacks callbacks {};
        mg_init_library(0);
        this->server = mg_start(&callbacks, nullptr, options);
        if (this->server == nullptr) {
            mg_exit_library();
            throw UserError("bind admin address", addresses, "address cannot be bound");
        }
        mg_server_port bound {};
        mg_get_server_ports(this->server, 1, &bound);
        this->boundAddress = { listen.front().address, static_cast<std::uint16_t>(bound.port) };
        mg_set_request_handler(this->server, "/metrics$", handleMetrics, this);
        mg_set_request_handler(this->server, "/healthz$", handleHealth, this);
        mg_set_request_handler(this->server, (this->source.readyPath + "$").c_str(), handleReady, this);
        mg_set_request_handler(this->server, "/v1/status$", handleStatus, this);
        if (this->source.snapshot) {
            mg_set_request_handler(this->server, "/v1/directory$", handleSnapshot, this);
        }
    }

    ~Implementation()
    {
        mg_stop(this->server);
        mg_exit_library();
    }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    const Endpoint& address() const { return this->boundAddress; }

private:
    static const Implementation& self(void* data) { return *static_cast<Implementation*>(data); }

    static int handleMetrics(mg_connection* connection, void* data)
    {
        if (!isGetOrHead(connection)) {
            return sendMethodNotAllowed(connection);
        }
        return sendAnswer(connection, statusOk, "text/plain; version=0.0.4", self(data).metrics.serialize());
    }

    static int handleHealth(mg_connection* connection, void*)
    {
        return isGetOrHead(connection) ? sendAnswer(connection, statusOk, "text/plain", "ok\n")
                                       : sendMethodNotAllowed(connection);
    }

    static int handleReady(mg_connection* connection, void* data)
    {
        if (!isGetOrHead(connection)) {
            return sendMethodNotAllowed(connection);
        }
        return self(data).source.ready() ? sendAnswer(connection, statusOk, "text/plain", "ready\n")
                                         : sendAnswer(connection, statusUnavailable, "text/plain", "not ready\n");
    }

    static int handleStatus(mg_connection* connection, void* data)
    {
        if (!isGetOrHead(connection)) {
            return sendMethodNotAllowed(connection);
        }
        return sendAnswer(connection, statusOk, "application/json", self(data).source.statusJson() + "\n");
    }

    static int handleSnapshot(mg_connection* connection, void* data)
    {
        if (!isGetOrHead(connection)) {
            return sendMethodNotAllowed(connection);
        }
        return sendAnswer(connection, statusOk, "application/x-protobuf", self(data).source.snapshot());
    }

    const Metrics& metrics;
    Source source;
    mg_context* server { nullptr };
    Endpoint boundAddress;
};

AdminServer::AdminServer(const Endpoint& listen, const Metrics& metrics, Source source)
    : AdminServer(std::vector { listen }, metrics, std::move(source))
{
}

AdminServer::AdminServer(const std::vector<Endpoint>& listen, const Metrics& metrics, Source source)
    : implementation(std::make_unique<Implementation>(listen, metrics, std::move(source)))
{
}

AdminServer::~AdminServer() = default;

Endpoint AdminServer::address() const { return this->implementation->address(); }

}
