#pragma once

#include "coordination/PeerIdentity.h"
#include "protocol/Endpoint.h"

#include <optional>

namespace chicoryferry {

class ConfigurationView;

// The peer address of exactly this life of an agent; nothing when the view, which may be null, does not list it.
std::optional<Endpoint> peerAddressOf(const ConfigurationView* view, const PeerIdentity&);

}
