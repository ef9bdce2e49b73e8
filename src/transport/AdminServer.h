#pragma once

#include "protocol/Endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace chicoryferry {

class Metrics;

// Serves /metrics, /healthz, /readyz and /v1/status over HTTP (CivetWeb, its own threads).
class AdminServer {
public:
    // What the endpoints ask the process; called on CivetWeb's threads.
    struct Source {
        std::function<bool()> ready;
        std::function<std::string()> statusJson;
    };

    // Binds the address (port 0: chosen by the kernel) and starts serving. Throws UserError when it cannot be bound.
    AdminServer(const Endpoint&, const Metrics&, Source);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    // The bound address.
    Endpoint address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
