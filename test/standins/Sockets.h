#pragma once

#include "protocol/Endpoint.h"

#include <netinet/in.h>

namespace chicoryferry::standins {

sockaddr_in toSocketAddress(const Endpoint&);

Endpoint toEndpoint(const sockaddr_in&);

// A bound, non-blocking UDP socket with large buffers. Throws UserError when the address cannot be bound.
int openUdpSocket(const Endpoint&);

// A listening, non-blocking TCP socket. Throws UserError when the address cannot be bound.
int openTcpListener(const Endpoint&);

// A non-blocking TCP socket whose connection attempt has begun. Throws UserError when it fails at once.
int startTcpConnect(const Endpoint&);

// Accepts a connection as non-blocking socket; -1 when none waits.
int acceptConnection(int listener);

// The local address of a bound socket.
Endpoint boundAddress(int descriptor);

// Closes a TCP socket so that the peer sees a reset.
void closeWithReset(int descriptor);

}
