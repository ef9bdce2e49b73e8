#include "Store.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds answerTime { 4 };

// As in the site files of the users.
constexpr std::size_t itemsPerPage = 50;

std::string toBase64(const std::string& bytes)
{
    static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const std::size_t position = index + offset;
            group = (group << 8U) | (position < bytes.size() ? static_cast<unsigned char>(bytes[position]) : 0U);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            const bool padding = index + offset > bytes.size();
            result += padding ? '=' : alphabet[(group >> (18U - 6U * offset)) & 63U];
        }
    }
    return result;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    for (std::size_t begin = query; begin != std::string::npos; begin = target.find('&', begin + 1)) {
        if (target.compare(begin + 1, name.size() + 1, name + "=") == 0) {
            const auto value = begin + name.size() + 2;
            std::string text = target.substr(value, target.find('&', value) - value);
            for (auto slash = text.find("%2F"); slash != std::string::npos; slash = text.find("%2F")) {
                text.replace(slash, 3, "/");
            }
            return text;
        }
    }
    return "";
}

}

Store::Store(Loop& eventLoop)
    : loop(eventLoop)
{
}

void Store::openGateway(const Address& gateway)
{
    const int listener = openListener(gateway);
    this->loop.watch(listener, [this, listener, gateway] { this->accept(listener, gateway); });
}

void Store::setCut(const Address& gateway, bool cut)
{
    if (cut) {
        this->cutGateways.insert(gateway);
    } else {
        this->cutGateways.erase(gateway);
    }
}

std::string Store::encodeItem(const std::string& key, const Item& item) const
{
    const std::string head = R"({"key":")" + key + R"(","revision":)" + std::to_string(item.revision);
    if (item.removed) {
        return head + R"(,"tombstone":true})";
    }
    return head + R"(,"created-rev":)" + std::to_string(item.created) + R"(,"lease":0,"value":")" + toBase64(item.value)
        + R"("})";
}

void Store::write(const std::string& key, const std::string& value)
{
    Item& item = this->items[key];
    if (item.revision > 0 && !item.removed && item.value == value) {
        return; // an entry changes only when its text does
    }
    ++this->revision;
    item.created = item.revision == 0 || item.removed ? this->revision : item.created;
    item.revision = this->revision;
    item.value = value;
    item.removed = false;
    this->changed();
}

void Store::remove(const std::string& key)
{
    this->items[key] = { ++this->revision, 0, "", true };
    this->changed();
}

std::set<Address> Store::watching() const
{
    std::set<Address> gateways;
    for (const auto& connection : this->connections) {
        if (connection->waiting) {
            gateways.insert(connection->gateway);
        }
    }
    return gateways;
}

void Store::accept(int listener, const Address& gateway)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    if (this->away) {
        ::close(descriptor);
        return;
    }
    auto connection = std::make_shared<Connection>();
    connection->descriptor = descriptor;
    connection->gateway = gateway;
    this->connections.insert(connection);
    this->loop.watch(descriptor, [this, connection] { this->receive(connection); });
}

void Store::close(const std::shared_ptr<Connection>& connection)
{
    if (connection->descriptor >= 0) {
        this->loop.forget(connection->descriptor);
        ::close(connection->descriptor);
        connection->descriptor = -1;
    }
    connection->waiting = false;
    this->connections.erase(connection);
}

void Store::receive(const std::shared_ptr<Connection>& connection)
{
    std::array<char, 4096> buffer {};
    const auto count = recv(connection->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
        this->close(connection);
        return;
    }
    if (count < 0) {
        return;
    }
    connection->received.append(buffer.data(), static_cast<std::size_t>(count));
    if (connection->received.find("\r\n\r\n") == std::string::npos || this->cutGateways.contains(connection->gateway)) {
        return; // a request that arrives during the cut is lost
    }
    const auto begin = connection->received.find(' ') + 1;
    const std::string target = connection->received.substr(begin, connection->received.find(' ', begin) - begin);
    connection->received.clear();
    this->loop.after(answerTime, [this, connection, target] { this->handle(connection, target); });
}

void Store::handle(const std::shared_ptr<Connection>& connection, const std::string& target)
{
    if (target.starts_with("/v1/kv-range")) {
        this->answerListing(connection, parameter(target, "after"));
        return;
    }
    if (std::strtoull(parameter(target, "after").c_str(), nullptr, 10) > this->revision) {
        this->answer(connection, 410, "{}");
        return;
    }
    connection->waiting = true;
    connection->after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const auto wait = std::strtoll(parameter(target, "wait-ms").c_str(), nullptr, 10);
    this->loop.after(milliseconds(wait), [this, connection] {
        if (connection->waiting) {
            this->answerWatch(connection);
        }
    });
    if (this->revision > connection->after) {
        this->answerWatch(connection);
    }
}

void Store::answerListing(const std::shared_ptr<Connection>& connection, const std::string& after)
{
    if (this->losingFurtherPages && !after.empty()) {
        ++this->lostCount;
        return; // the connection returns nothing further
    }
    std::string list;
    std::size_t count = 0;
    bool truncated = false;
    for (const auto& [key, item] : this->items) {
        if (item.removed || key <= after) {
            continue;
        }
        if (count == itemsPerPage) {
            truncated = true;
            break;
        }
        list += (count++ == 0 ? "" : ",") + this->encodeItem(key, item);
    }
    this->answer(connection, 200,
        R"({"items":[)" + list + R"(],"truncated":)" + (truncated ? "true" : "false") + R"(,"store-revision":)"
            + std::to_string(this->revision) + "}");
}

void Store::keepCopy()
{
    this->copiedItems = this->items;
    this->copiedRevision = this->revision;
}

void Store::restoreCopy()
{
    this->items = this->copiedItems;
    this->revision = this->copiedRevision;
    ++this->era;
}

void Store::setAway(bool isAway)
{
    this->away = isAway;
    const auto current = this->connections;
    for (const auto& connection : current) {
        this->close(connection);
    }
}

void Store::setLosingFurtherPages(bool isLosing)
{
    this->losingFurtherPages = isLosing;
    this->answerCount = isLosing ? 0 : this->answerCount;
    this->lostCount = isLosing ? 0 : this->lostCount;
}

std::uint64_t Store::revisionOf(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? 0 : found->second.revision;
}

void Store::answerWatch(const std::shared_ptr<Connection>& connection)
{
    connection->waiting = false;
    std::string list;
    for (const auto& [key, item] : this->items) {
        if (item.revision > connection->after) {
            list += (list.empty() ? "" : ",") + this->encodeItem(key, item);
        }
    }
    this->answer(
        connection, 200, R"({"events":[)" + list + R"(],"store-revision":)" + std::to_string(this->revision) + "}");
}

void Store::changed()
{
    const auto current = this->connections;
    for (const auto& connection : current) {
        if (connection->waiting && this->revision > connection->after) {
            this->answerWatch(connection);
        }
    }
}

void Store::answer(const std::shared_ptr<Connection>& connection, int status, const std::string& body)
{
    ++this->answerCount;
    if (connection->descriptor < 0 || this->cutGateways.contains(connection->gateway)) {
        return; // lost; the connection stays open and carries nothing more
    }
    const std::string message = "HTTP/1.1 " + std::to_string(status) + " Status\r\nStore-Era: "
        + std::to_string(this->era) + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    // Far below the size of a socket's buffer.
    send(connection->descriptor, message.data(), message.size(), MSG_NOSIGNAL);
    this->close(connection);
}

}
