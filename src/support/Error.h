#pragma once

#include <stdexcept>
#include <string>

namespace chicoryferry {

// Base class of all errors. Carries the step that failed and the peer concerned (may be empty).
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
