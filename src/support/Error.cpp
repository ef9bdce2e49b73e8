#include "support/Error.h"

#include <fmt/format.h>

namespace chicoryferry {

namespace {

std::string describe(const std::string& step, const std::string& peer, const std::string& message)
{
    if (peer.empty()) {
        return fmt::format("{}: {}", step, message);
    }
    return fmt::format("{} [{}]: {}", step, peer, message);
}

}

Error::Error(std::string step, std::string peer, const std::string& message)
    : std::runtime_error(describe(step, peer, message))
    , errorStep(std::move(step))
    , errorPeer(std::move(peer))
{
}

}
