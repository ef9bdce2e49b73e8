#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry::integration {

// The metadata store of the users' platform: listing and watch of all keys over HTTP.
class StoreStandin {
public:
    // Throws std::runtime_error when the address cannot be bound.
    explicit StoreStandin(const Endpoint&);
    ~StoreStandin();
    StoreStandin(const StoreStandin&) = delete;
    StoreStandin& operator=(const StoreStandin&) = delete;

    void write(const std::string& key, const std::string& value);

    // From now on each call is answered with 503, or served again.
    void setDown(bool);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
