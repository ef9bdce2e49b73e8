#pragma once

#include "protocol/Binding.h"
#include "protocol/CallerGroup.h"
#include "protocol/Host.h"
#include "protocol/Service.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace chicoryferry {

// A parsed and validated configuration document.
struct Configuration {
    std::uint64_t version { 0 };
    std::chrono::milliseconds retention { std::chrono::seconds(600) }; // of idempotency records and version history
    std::vector<Service> services;
    std::vector<CallerGroup> callerGroups;
    std::vector<Binding> bindings;
    std::vector<Host> hosts;
};

}
