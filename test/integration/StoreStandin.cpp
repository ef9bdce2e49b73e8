#include "StoreStandin.h"

#include <algorithm>
#include <chrono>
#include <civetweb.h>
#include <condition_variable>
#include <google/protobuf/stubs/strutil.h>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace chicoryferry::integration {

namespace {

using nlohmann::json;

// Size from which a page of a listing is full, as on the platform.
constexpr std::size_t pageBytes = 1'000'000;

// Returns the value of a parameter, empty if it is missing.
std::string queryText(const mg_request_info& request, const char* name)
{
    const std::string query = request.query_string == nullptr ? "" : request.query_string;
    std::string value(1024, '\0');
    const int length = mg_get_var(query.data(), query.size(), name, value.data(), value.size());
    value.resize(static_cast<std::size_t>(std::max(0, length)));
    return value;
}

std::uint64_t queryNumber(const mg_request_info& request, const char* name)
{
    return std::strtoull(queryText(request, name).c_str(), nullptr, 10);
}

int answer(mg_connection* connection, int status, std::uint64_t era, const std::string& body)
{
    mg_printf(connection,
        "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nStore-Era: %llu\r\nContent-Length: %zu\r\n"
        "Connection: close\r\n\r\n",
        status, static_cast<unsigned long long>(era), body.size());
    mg_write(connection, body.data(), body.size());
    return status;
}

}

class StoreStandin::Implementation {
public:
    explicit Implementation(const Endpoint& endpoint)
    {
        const std::string address = formatEndpoint(endpoint);
        const char* options[] = { "listening_ports", address.c_str(), "num_threads", "16", nullptr };
        mg_init_library(0);
        const mg_callbacks callbacks {};
        this->server = mg_start(&callbacks, nullptr, options);
        if (this->server == nullptr) {
            throw std::runtime_error("store stand-in: cannot bind " + address);
        }
        mg_set_request_handler(this->server, "/v1/kv-range$", handleRange, this);
        mg_set_request_handler(this->server, "/v1/kv-watch$", handleWatch, this);
    }

    ~Implementation()
    {
        this->setDown(true);
        mg_stop(this->server);
        mg_exit_library();
    }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void write(const std::string& key, const std::string& value)
    {
        std::string encoded;
        google::protobuf::Base64Escape(value, &encoded);
        const std::lock_guard lock(this->mutex);
        const json item { { "key", key }, { "value", encoded }, { "revision", this->revision + 1 },
            { "created-rev", this->revision + 1 }, { "lease", 0 } };
        this->items[key] = { ++this->revision, item.dump(), false };
        this->changed.notify_all();
    }

    void writeItem(const std::string& key, const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->items[key] = { ++this->revision, text, false };
        this->changed.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        const json item { { "key", key }, { "revision", this->revision + 1 }, { "tombstone", true } };
        this->items[key] = { ++this->revision, item.dump(), true };
        this->changed.notify_all();
    }

    void keepCopy()
    {
        const std::lock_guard lock(this->mutex);
        this->copiedItems = this->items;
        this->copiedRevision = this->revision;
    }

    void restoreCopy(bool raisesEra)
    {
        const std::lock_guard lock(this->mutex);
        this->items = this->copiedItems;
        this->revision = this->copiedRevision;
        this->era += raisesEra ? 1 : 0;
        this->changed.notify_all();
    }

    void setForgettingHistory(bool isForgetting)
    {
        const std::lock_guard lock(this->mutex);
        this->forgettingHistory = isForgetting;
        this->changed.notify_all();
    }

    void setPageItems(std::size_t count)
    {
        const std::lock_guard lock(this->mutex);
        this->pageItems = count;
    }

    void setHoldingFurtherPages(bool isHolding)
    {
        const std::lock_guard lock(this->mutex);
        this->holdingFurtherPages = isHolding;
        this->changed.notify_all();
    }

    std::size_t calls() const
    {
        const std::lock_guard lock(this->mutex);
        return this->callCount;
    }

    void setDown(bool isDown)
    {
        const std::lock_guard lock(this->mutex);
        this->down = isDown;
        this->changed.notify_all();
    }

    void setHoldingWatches(bool isHolding)
    {
        const std::lock_guard lock(this->mutex);
        this->holdingWatches = isHolding;
        this->changed.notify_all();
    }

private:
    static int handleRange(mg_connection* connection, void* data)
    {
        auto& self = *static_cast<Implementation*>(data);
        const std::string after = queryText(*mg_get_request_info(connection), "after");
        std::unique_lock lock(self.mutex);
        ++self.callCount;
        self.changed.wait(lock, [&] { return self.down || after.empty() || !self.holdingFurtherPages; });
        if (self.down) {
            return answer(connection, 503, self.era, "{}");
        }
        std::string list = "[";
        auto item = self.items.upper_bound(after);
        for (std::size_t count = 0; item != self.items.end() && list.size() < pageBytes && count < self.pageItems;
             ++item) {
            if (!item->second.removed) {
                list += (list.size() > 1 ? "," : "") + item->second.text;
                ++count;
            }
        }
        return answer(connection, 200, self.era,
            R"({"items":)" + list + R"(],"truncated":)" + (item == self.items.end() ? "false" : "true")
                + R"(,"store-revision":)" + std::to_string(self.revision) + "}");
    }

    static int handleWatch(mg_connection* connection, void* data)
    {
        auto& self = *static_cast<Implementation*>(data);
        const mg_request_info& request = *mg_get_request_info(connection);
        const std::uint64_t after = queryNumber(request, "after");
        const std::chrono::milliseconds wait(queryNumber(request, "wait-ms"));
        std::unique_lock lock(self.mutex);
        ++self.callCount;
        self.changed.wait_for(
            lock, wait, [&] { return self.down || self.forgettingHistory || self.revision != after; });
        if (self.down) {
            return answer(connection, 503, self.era, "{}");
        }
        if (self.forgettingHistory || self.revision < after) {
            return answer(connection, 410, self.era, "{}");
        }
        const std::string body
            = R"({"events":)" + self.itemsAfter(after) + R"(,"store-revision":)" + std::to_string(self.revision) + "}";
        self.changed.wait(lock, [&] { return self.down || !self.holdingWatches; });
        return answer(connection, 200, self.era, body);
    }

    struct Item {
        std::uint64_t revision { 0 };
        std::string text;
        bool removed { false };
    };

    // Returns the text of a JSON array.
    std::string itemsAfter(std::uint64_t after) const
    {
        std::string list = "[";
        for (const auto& [key, item] : this->items) {
            if (item.revision > after) {
                list += (list.size() > 1 ? "," : "") + item.text;
            }
        }
        return list + "]";
    }

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::uint64_t revision { 0 };
    std::uint64_t era { 0 };
    std::map<std::string, Item> copiedItems;
    std::uint64_t copiedRevision { 0 };
    bool down { false };
    bool holdingWatches { false };
    bool holdingFurtherPages { false };
    bool forgettingHistory { false };
    std::size_t pageItems { std::numeric_limits<std::size_t>::max() };
    std::size_t callCount { 0 };
    mg_context* server { nullptr };
};

StoreStandin::StoreStandin(const Endpoint& endpoint)
    : implementation(std::make_unique<Implementation>(endpoint))
{
}

StoreStandin::~StoreStandin() = default;

void StoreStandin::write(const std::string& key, const std::string& value) { this->implementation->write(key, value); }

void StoreStandin::setHoldingWatches(bool holding) { this->implementation->setHoldingWatches(holding); }

void StoreStandin::writeItem(const std::string& key, const std::string& text)
{
    this->implementation->writeItem(key, text);
}

void StoreStandin::remove(const std::string& key) { this->implementation->remove(key); }

void StoreStandin::keepCopy() { this->implementation->keepCopy(); }

void StoreStandin::restoreCopy(bool raisesEra) { this->implementation->restoreCopy(raisesEra); }

void StoreStandin::setForgettingHistory(bool forgetting) { this->implementation->setForgettingHistory(forgetting); }

void StoreStandin::setPageItems(std::size_t count) { this->implementation->setPageItems(count); }

void StoreStandin::setHoldingFurtherPages(bool holding) { this->implementation->setHoldingFurtherPages(holding); }

std::size_t StoreStandin::calls() const { return this->implementation->calls(); }

void StoreStandin::setDown(bool down) { this->implementation->setDown(down); }

}
