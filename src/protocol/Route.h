#pragma once

#include "protocol/SizeClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace chicoryferry {

// Settings for the requests of a service that match a method and path prefix. Source: configuration document.
struct Route {
    std::string method; // empty: any method
    std::string path { "/" }; // prefix
    bool shareable { false }; // identical requests may share one run
    std::optional<bool> repeatable; // unset: true for GET and HEAD, false for others, without requiring a key
    std::chrono::milliseconds deadline { std::chrono::seconds(30) };
    SizeClass sizeClass { SizeClass::Learned };

    // True if requests may be repeated after a run with an unknown outcome.
    bool isRepeatable(const std::string& requestMethod) const
    {
        return this->repeatable.value_or(requestMethod == "GET" || requestMethod == "HEAD");
    }

    // True if requests must have an idempotency key.
    bool needsIdempotencyKey() const { return !this->repeatable.value_or(true); }
};

}
