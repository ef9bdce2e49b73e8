#include "ControlServer.h"

#include "StandinLoop.h"
#include "support/UserError.h"

#include <array>
#include <civetweb.h>
#include <fmt/format.h>

namespace chicoryferry::standins {

namespace {

struct ControlAnswer {
    int status { 200 };
    nlohmann::json content;
};

std::string readBody(mg_connection* connection)
{
    std::string body;
    std::array<char, 16384> buffer {};
    for (int count = 1; count > 0;) {
        count = mg_read(connection, buffer.data(), buffer.size());
        if (count > 0) {
            body.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    return body;
}

void sendAnswer(mg_connection* connection, const ControlAnswer& answer)
{
    const std::string text = answer.content.dump();
    const std::string head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                                         "Connection: close\r\n\r\n",
        answer.status, answer.status == 200 ? "OK" : "Error", text.size());
    mg_write(connection, head.data(), head.size());
    mg_write(connection, text.data(), text.size());
}

}

class ControlServer::Implementation {
public:
    Implementation(StandinLoop& loopToUse, const Endpoint& listen, Handlers handlersToUse)
        : loop(loopToUse)
        , handlers(std::move(handlersToUse))
    {
        const std::string ports = formatEndpoint(listen);
        const std::array<const char*, 7> options { "listening_ports", ports.c_str(), "num_threads", "4",
            "enable_keep_alive", "no", nullptr };
        mg_callbacks callbacks {};
        this->context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
        if (this->context == nullptr) {
            throw UserError("listen for control requests", ports, "cannot bind the address");
        }
        mg_set_request_handler(this->context, "/", &Implementation::handle, this);
        mg_server_port port {};
        mg_get_server_ports(this->context, 1, &port);
        this->bound = Endpoint { listen.address, static_cast<std::uint16_t>(port.port) };
    }

    ~Implementation() { mg_stop(this->context); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    Endpoint address() const { return this->bound; }

private:
    static int handle(mg_connection* connection, void* data)
    {
        auto* self = static_cast<Implementation*>(data);
        const ControlAnswer answer = self->answerFor(connection);
        sendAnswer(connection, answer);
        return answer.status;
    }

    ControlAnswer answerFor(mg_connection* connection)
    {
        const mg_request_info* request = mg_get_request_info(connection);
        const auto handler = this->handlers.find(fmt::format("{} {}", request->request_method, request->local_uri));
        if (handler == this->handlers.end()) {
            return ControlAnswer { 404, { { "error", "unknown method or path" } } };
        }
        ControlAnswer answer;
        try {
            const std::string text = readBody(connection);
            const nlohmann::json body = text.empty() ? nlohmann::json() : nlohmann::json::parse(text);
            this->loop.call([&] { answer.content = handler->second(body); });
        } catch (const std::exception& error) {
            answer = ControlAnswer { 400, { { "error", error.what() } } };
        }
        return answer;
    }

    StandinLoop& loop;
    Handlers handlers;
    mg_context* context { nullptr };
    Endpoint bound;
};

ControlServer::ControlServer(StandinLoop& loop, const Endpoint& listen, Handlers handlers)
    : implementation(std::make_unique<Implementation>(loop, listen, std::move(handlers)))
{
}

ControlServer::~ControlServer() = default;

Endpoint ControlServer::address() const { return this->implementation->address(); }

void printEvent(const nlohmann::json& event) { fmt::print(stderr, "{}\n", event.dump()); }

}
