#include "ClientEntry.h"

#include "ClientStack.h"
#include "RelayedConnection.h"
#include "Sockets.h"
#include "StandinLoop.h"

#include <set>
#include <sys/epoll.h>
#include <unistd.h>

namespace chicoryferry::standins {

ClientEntry::ClientEntry(StandinLoop& loopToUse, ClientStack& stackToUse)
    : loop(loopToUse)
    , stack(stackToUse)
{
}

ClientEntry::~ClientEntry()
{
    for (const auto& [key, listener] : this->listeners) {
        close(listener.descriptor);
    }
}

nlohmann::json ClientEntry::configure(const nlohmann::json& request)
{
    std::set<ListenerKey> requested;
    nlohmann::json answer = nlohmann::json::array();
    for (const nlohmann::json& entry : request.at("entries")) {
        const ListenerKey key { parseAddress(entry.at("caller").get<std::string>()),
            parseEndpoint(entry.at("service").get<std::string>()) };
        requested.insert(key);
        if (!this->listeners.contains(key)) {
            this->listeners.emplace(key, this->openListener(key));
        }
        nlohmann::json described = entry;
        described["address"] = formatEndpoint(this->listeners.at(key).address);
        answer.push_back(std::move(described));
    }
    std::erase_if(this->listeners, [&](const auto& item) {
        if (requested.contains(item.first)) {
            return false;
        }
        this->loop.events().remove(item.second.descriptor);
        close(item.second.descriptor);
        return true;
    });
    return { { "entries", answer } };
}

ClientEntry::Listener ClientEntry::openListener(const ListenerKey& key)
{
    this->stack.addCaller(key.first);
    Listener listener;
    listener.descriptor = openTcpListener(parseEndpoint("127.0.0.1:0"));
    listener.address = boundAddress(listener.descriptor);
    this->loop.events().add(listener.descriptor, EPOLLIN,
        [this, key, descriptor = listener.descriptor](std::uint32_t) { this->acceptWaiting(descriptor, key); });
    return listener;
}

void ClientEntry::acceptWaiting(int listener, const ListenerKey& key)
{
    for (int descriptor = acceptConnection(listener); descriptor >= 0; descriptor = acceptConnection(listener)) {
        ++this->accepted;
        auto connection = std::make_unique<RelayedConnection>(this->loop.events(), descriptor, key.first, key.second,
            [this](RelayedConnection& ended, ConnectionEnd reason) { this->connectionEnded(ended, reason); });
        RelayedConnection* identity = connection.get();
        this->connections.emplace(identity, std::move(connection));
    }
}

void ClientEntry::connectionEnded(RelayedConnection& connection, ConnectionEnd reason)
{
    switch (reason) {
    case ConnectionEnd::Closed:
        ++this->closed;
        break;
    case ConnectionEnd::ResetByService:
        ++this->resetByService;
        break;
    case ConnectionEnd::ResetByClient:
        ++this->resetByClient;
        break;
    }
    // The connection is still on the call stack, so it is deleted in the next iteration of the loop.
    RelayedConnection* identity = &connection;
    this->loop.schedule(std::chrono::steady_clock::now(), [this, identity] { this->connections.erase(identity); });
}

nlohmann::json ClientEntry::counts() const
{
    return { { "open", this->connections.size() }, { "accepted", this->accepted }, { "closed", this->closed },
        { "resetByService", this->resetByService }, { "resetByClient", this->resetByClient } };
}

}
