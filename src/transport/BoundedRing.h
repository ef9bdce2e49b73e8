#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace chicoryferry {

// A bounded FIFO ring buffer for one producer thread and one consumer thread. Never blocks.
template <typename Item> class BoundedRing {
public:
    // capacity: the maximum number of items held.
    explicit BoundedRing(std::size_t capacity)
        : slots(capacity + 1)
    {
    }

    // Returns false, leaving the item untouched, when the ring is full. Producer thread only.
    bool push(Item&& item)
    {
        const std::size_t tail = this->tailIndex.load(std::memory_order_relaxed);
        const std::size_t next = (tail + 1) % this->slots.size();
        if (next == this->headIndex.load(std::memory_order_acquire)) {
            return false;
        }
        this->slots[tail] = std::move(item);
        this->tailIndex.store(next, std::memory_order_release);
        return true;
    }

    // Returns nothing when the ring is empty. Consumer thread only.
    std::optional<Item> pop()
    {
        const std::size_t head = this->headIndex.load(std::memory_order_relaxed);
        if (head == this->tailIndex.load(std::memory_order_acquire)) {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(this->slots[head]));
        this->slots[head] = Item();
        this->headIndex.store((head + 1) % this->slots.size(), std::memory_order_release);
        return item;
    }

private:
    // Keeps the two indices on separate cache lines, to avoid false sharing between the threads.
    static constexpr std::size_t cacheLineBytes = 64;

    std::vector<Item> slots;
    alignas(cacheLineBytes) std::atomic<std::size_t> headIndex { 0 };
    alignas(cacheLineBytes) std::atomic<std::size_t> tailIndex { 0 };
};

}
