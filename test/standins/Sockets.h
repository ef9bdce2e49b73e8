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

// A non-blocking TCP socket whose connection attempt has started. Throws UserError when it fails at once.
int startTcpConnect(const Endpoint&);

// Accepts a connection as a non-blocking socket; returns -1 when none is pending.
int acceptConnection(int listener);

// The local address of a bound socket.
Endpoint boundAddress(int descriptor);

// Closes a TCP socket so that the peer sees a reset.
void closeWithReset(int descriptor);

}
