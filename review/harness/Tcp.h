#pragma once

#include "Wire.h"

#include <atomic>
#include <string>

namespace review {

// Returns a listening socket. Throws std::runtime_error if the address cannot be bound.
int listenTcp(const Address&);

// Returns a connected socket, or -1.
int connectTcp(const Address&);

// Reads until the text contains the mark, the connection ends or `stopping` is set.
std::string readUntil(int connection, const std::string& mark, const std::atomic<bool>& stopping);

// Returns whether all bytes were written.
bool writeAll(int connection, const std::string& bytes);

// Sends a GET request and returns the status, or 0 without an answer.
int getStatus(const Address&, const std::string& path);

}
