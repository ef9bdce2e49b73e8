#pragma once

#include "protocol/Endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace chicoryferry::standins {

class StandinLoop;

// Answers control requests with JSON over HTTP. The handlers run on the loop's thread.
class ControlServer {
public:
    // Receives the body of the request (null without one) and returns the answer. An exception becomes status 400.
    using Handler = std::function<nlohmann::json(const nlohmann::json& body)>;

    // Handlers by method and path, for example "PUT /control/faults".
    using Handlers = std::map<std::string, Handler>;

    // Throws UserError when the address cannot be bound. The loop must outlive this object.
    ControlServer(StandinLoop&, const Endpoint& listen, Handlers);
    ~ControlServer();
    ControlServer(const ControlServer&) = delete;
    ControlServer& operator=(const ControlServer&) = delete;

    Endpoint address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

// Prints one JSON line on standard error.
void printEvent(const nlohmann::json&);

}
