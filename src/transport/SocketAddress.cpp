#include "transport/SocketAddress.h"

namespace chicoryferry {

sockaddr_in toSocketAddress(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

Endpoint toEndpoint(const sockaddr_in& address) { return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) }; }

}
