#pragma once

#include "protocol/Endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicoryferry {

class Metrics;

// Serves /metrics, /healthz, the readiness path and /v1/status over HTTP (CivetWeb, its own threads).
class AdminServer {
public:
    // Callbacks that supply the content of the endpoints; called on CivetWeb's threads.
    struct Source {
        std::function<bool()> ready;
        std::function<std::string()> statusJson;
        std::string readyPath { "/readyz" };
        std::function<std::string()> snapshot {}; // served to peers at /v1/directory; none: not served
    };

    // Binds the address (port 0: chosen by the kernel) and starts serving. Throws UserError when it cannot be bound.
    AdminServer(const Endpoint&, const Metrics&, Source);

    // Serves on several addresses; address() is the first one.
    AdminServer(const std::vector<Endpoint>&, const Metrics&, Source);
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
