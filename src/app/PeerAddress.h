#pragma once

#include "coordination/PeerIdentity.h"
#include "protocol/Endpoint.h"

#include <optional>

namespace chicoryferry {

class ConfigurationView;

// Returns the peer address of this incarnation of an agent, or nullopt when the view does not list this incarnation.
// The view may be null.
std::optional<Endpoint> peerAddressOf(const ConfigurationView* view, const PeerIdentity&);

}
