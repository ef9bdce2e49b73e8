#pragma once

#include "Wire.h"

#include <atomic>
#include <thread>

namespace review {

// The path between one machine and the store: a TCP proxy that can be cut in both directions without a reset. Bytes
// that are sent during a cut arrive with the first retransmission after it, at the times at which TCP retransmits.
class StoreLink {
public:
    StoreLink(const Address& listen, const Address& store);
    ~StoreLink();
    StoreLink(const StoreLink&) = delete;
    StoreLink& operator=(const StoreLink&) = delete;

    void setCut(bool isCut) { this->cut = isCut; }

    // Silences the connections that are open now for good; new ones work.
    void silenceOpenConnections() { ++this->generation; }

private:
    void acceptConnections();
    void serve(int client);

    Address store;
    int listener { -1 };
    std::atomic<bool> cut { false };
    std::atomic<int> generation { 0 };
    std::atomic<bool> stopping { false };
    std::atomic<int> serving { 0 };
    std::thread acceptor;
};

}
