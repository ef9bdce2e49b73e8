#include "Store.h"

#include "Tcp.h"

#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

std::string toBase64(const std::string& bytes)
{
    static constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8U) | (offset < count ? static_cast<std::uint8_t>(bytes[index + offset]) : 0U);
        }
        for (std::size_t offset = 0; offset < 4; ++offset) {
            text += offset <= count ? alphabet[(group >> (18 - 6 * offset)) & 63U] : '=';
        }
    }
    return text;
}

std::uint64_t queryNumber(const std::string& target, const std::string& name)
{
    const auto found = target.find(name + "=");
    return found == std::string::npos ? 0 : std::strtoull(target.c_str() + found + name.size() + 1, nullptr, 10);
}

}

Store::Store(const Address& address, std::chrono::milliseconds timeOfAnswer, std::chrono::seconds timeOfHistory)
    : answerTime(timeOfAnswer)
    , historyTime(timeOfHistory)
    , listener(listenTcp(address))
    , acceptor([this] { this->acceptConnections(); })
{
}

Store::~Store()
{
    this->stopping = true;
    this->changed.notify_all();
    this->acceptor.join();
    close(this->listener);
    while (this->serving > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

std::uint64_t Store::record(const std::string& key, const std::string& text)
{
    this->history.push_back({ this->revision, key, text, std::chrono::steady_clock::now() });
    this->changed.notify_all();
    return this->revision;
}

std::uint64_t Store::put(const std::string& key, const std::string& value)
{
    const std::string encoded = toBase64(value);
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    const std::uint64_t createdAt = this->created.try_emplace(key, this->revision).first->second;
    const std::string text = R"({"key":")" + key + R"(","value":")" + encoded + R"(","revision":)"
        + std::to_string(this->revision) + R"(,"created-rev":)" + std::to_string(createdAt) + R"(,"lease":0})";
    this->items[key] = text;
    return this->record(key, text);
}

std::uint64_t Store::remove(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->items.erase(key);
    this->created.erase(key);
    return this->record(
        key, R"({"key":")" + key + R"(","revision":)" + std::to_string(this->revision) + R"(,"tombstone":true})");
}

void Store::forgetHistory()
{
    const auto limit = std::chrono::steady_clock::now() - this->historyTime;
    while (!this->history.empty() && this->history.front().at < limit) {
        this->forgotten = this->history.front().revision;
        this->history.erase(this->history.begin());
    }
}

std::string Store::range()
{
    const std::lock_guard lock(this->mutex);
    std::string list;
    for (const auto& [key, text] : this->items) {
        list += (list.empty() ? "" : ",") + text;
    }
    return R"({"items":[)" + list + R"(],"truncated":false,"store-revision":)" + std::to_string(this->revision) + "}";
}

int Store::watch(std::uint64_t after, std::chrono::milliseconds wait, std::string& body)
{
    std::unique_lock lock(this->mutex);
    this->forgetHistory();
    if (after < this->forgotten) {
        body = "{}";
        return 410;
    }
    this->changed.wait_for(lock, wait, [&] { return this->stopping || this->revision > after; });
    std::string list;
    for (const Change& change : this->history) {
        if (change.revision > after) {
            list += (list.empty() ? "" : ",") + change.text;
        }
    }
    body = R"({"events":[)" + list + R"(],"store-revision":)" + std::to_string(this->revision) + "}";
    return 200;
}

void Store::acceptConnections()
{
    while (!this->stopping) {
        pollfd entry { this->listener, POLLIN, 0 };
        if (poll(&entry, 1, 50) <= 0) {
            continue;
        }
        const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0) {
            ++this->serving;
            std::thread([this, connection] {
                this->serve(connection);
                close(connection);
                --this->serving;
            }).detach();
        }
    }
}

void Store::serve(int connection)
{
    const std::string request = readUntil(connection, "\r\n\r\n", this->stopping);
    const auto begin = request.find(' ');
    const auto end = request.find(' ', begin + 1);
    if (begin == std::string::npos || end == std::string::npos) {
        return;
    }
    const std::string target = request.substr(begin + 1, end - begin - 1);
    std::string body = "{}";
    int status = 404;
    if (target.starts_with("/v1/kv-range?")) {
        body = this->range();
        status = 200;
    } else if (target.starts_with("/v1/kv-watch?")) {
        status = this->watch(
            queryNumber(target, "after"), std::chrono::milliseconds(queryNumber(target, "wait-ms")), body);
    }
    std::this_thread::sleep_for(this->answerTime);
    writeAll(connection,
        "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
}

}
