#pragma once

#include "coordination/PeerIdentity.h"
#include "messages.pb.h"

#include <vector>

namespace chicoryferry {

// A message about keys; the recipient may be this process.
struct KeyMessage {
    PeerIdentity to;
    wire::PeerMessage message;
};

using KeyMessages = std::vector<KeyMessage>;

}
