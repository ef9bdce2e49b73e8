#pragma once

namespace chicoryferry {

// What the configuration says about the backend servers of a service.
struct ServiceLimits {
    double coldStartsPerSecond { 0 }; // first packets that a cold backend server bears; 0: no limit

    auto operator<=>(const ServiceLimits&) const = default;
};

}
