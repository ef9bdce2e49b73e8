#include "StoreLink.h"

#include "Tcp.h"

#include <array>
#include <chrono>
#include <deque>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Bytes of one direction that wait for a retransmission.
class Pipe {
public:
    void add(std::string bytes, Clock::time_point now)
    {
        if (this->queue.empty()) {
            this->timeout = Milliseconds(200);
            this->nextTry = now;
        }
        this->queue.push_back(std::move(bytes));
    }

    // Writes what the link lets through. Returns false if the connection has ended.
    bool deliver(int to, bool cut, Clock::time_point now)
    {
        if (this->queue.empty() || now < this->nextTry) {
            return true;
        }
        if (cut) {
            this->nextTry = now + this->timeout;
            this->timeout *= 2;
            return true;
        }
        while (!this->queue.empty()) {
            if (!writeAll(to, this->queue.front())) {
                return false;
            }
            this->queue.pop_front();
        }
        return true;
    }

private:
    std::deque<std::string> queue;
    Milliseconds timeout { 200 };
    Clock::time_point nextTry;
};

enum class ReadResult { Nothing, Bytes, End };

ReadResult readInto(int from, short events, Pipe& pipe)
{
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) {
        return ReadResult::Nothing;
    }
    std::array<char, 65536> buffer {};
    const auto count = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) {
        return ReadResult::End;
    }
    pipe.add(std::string(buffer.data(), static_cast<std::size_t>(count)), Clock::now());
    return ReadResult::Bytes;
}

}

StoreLink::StoreLink(const Address& listen, const Address& storeAddress)
    : store(storeAddress)
    , listener(listenTcp(listen))
    , acceptor([this] { this->acceptConnections(); })
{
}

StoreLink::~StoreLink()
{
    this->stopping = true;
    this->acceptor.join();
    close(this->listener);
    while (this->serving > 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

void StoreLink::acceptConnections()
{
    while (!this->stopping) {
        pollfd entry { this->listener, POLLIN, 0 };
        if (poll(&entry, 1, 50) <= 0) {
            continue;
        }
        const int client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0) {
            ++this->serving;
            std::thread([this, client] {
                this->serve(client);
                close(client);
                --this->serving;
            }).detach();
        }
    }
}

void StoreLink::serve(int client)
{
    const int born = this->generation;
    const int server = connectTcp(this->store);
    if (server < 0) {
        return;
    }
    Pipe toServer;
    Pipe toClient;
    bool serverEnded = false;
    while (!this->stopping) {
        std::array<pollfd, 2> entries { pollfd { client, POLLIN, 0 }, pollfd { serverEnded ? -1 : server, POLLIN, 0 } };
        poll(entries.data(), entries.size(), 2);
        const bool silent = this->cut || this->generation != born;
        if (readInto(client, entries[0].revents, toServer) == ReadResult::End) {
            break; // the client has closed the connection; what is held up for it is lost
        }
        if (!serverEnded && readInto(server, entries[1].revents, toClient) == ReadResult::End) {
            serverEnded = true;
        }
        const auto now = Clock::now();
        if (!toServer.deliver(server, silent, now) || !toClient.deliver(client, silent, now)) {
            break;
        }
    }
    close(server);
}

}
