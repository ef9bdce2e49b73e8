#pragma once

#include <stdexcept>
#include <string>

namespace chicoryferry {

// Base of all errors: carries the step during which the error arose and the peer it concerns (may be empty).
class Error : public std::runtime_error {
public:
    Error(std::string step, std::string peer, const std::string& message);

    const std::string& step() const { return this->errorStep; }
    const std::string& peer() const { return this->errorPeer; }

private:
    std::string errorStep;
    std::string errorPeer;
};

}
