#pragma once

#include "coordination/PeerIdentity.h"
#include "messages.pb.h"

#include <vector>

namespace chicoryferry {

// A message about idempotency keys. The recipient may be this process itself.
struct KeyMessage {
    PeerIdentity to;
    wire::PeerMessage message;
};

using KeyMessages = std::vector<KeyMessage>;

}
