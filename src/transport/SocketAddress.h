#pragma once

#include "protocol/Endpoint.h"

#include <netinet/in.h>

namespace chicoryferry {

sockaddr_in toSocketAddress(const Endpoint&);
Endpoint toEndpoint(const sockaddr_in&);

}
