#include "app/PeerAddress.h"

#include "state/ConfigurationView.h"

namespace chicoryferry {

std::optional<Endpoint> peerAddressOf(const ConfigurationView* view, const PeerIdentity& peer)
{
    const Host* host = view != nullptr ? view->hostByName(peer.instance) : nullptr;
    if (host == nullptr || host->incarnation != peer.incarnation) {
        return std::nullopt;
    }
    return host->peerAddress;
}

}
