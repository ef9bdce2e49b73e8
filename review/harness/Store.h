#pragma once

#include "Wire.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Stand-in of the platform's metadata store: range reads and watches over all keys, with a history and tombstones.
class Store {
public:
    // Throws std::runtime_error if the address cannot be bound.
    Store(const Address&, std::chrono::milliseconds answerTime, std::chrono::seconds historyTime);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // Return the revision of the change, which is acknowledged when they return.
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);

private:
    struct Change {
        std::uint64_t revision;
        std::string key;
        std::string text; // the event as JSON
        std::chrono::steady_clock::time_point at;
    };

    void acceptConnections();
    void serve(int connection);
    std::string range();
    // Returns the status and stores the body.
    int watch(std::uint64_t after, std::chrono::milliseconds wait, std::string& body);
    void forgetHistory();
    std::uint64_t record(const std::string& key, const std::string& text);

    std::chrono::milliseconds answerTime;
    std::chrono::seconds historyTime;
    int listener { -1 };
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision { 100 };
    std::uint64_t forgotten { 0 }; // the last revision that the history no longer holds
    std::map<std::string, std::string> items; // by key, as JSON
    std::map<std::string, std::uint64_t> created; // revision of the creation
    std::vector<Change> history;
    std::atomic<bool> stopping { false };
    std::atomic<int> serving { 0 };
    std::thread acceptor;
};

}
