#include "transport/BoundedRing.h"

#include <doctest/doctest.h>
#include <thread>

using namespace chicoryferry;

// Guards against lost, repeated or reordered items between the producer and the consumer thread of a ring.
TEST_CASE("a ring passes every item once and in order [threads]")
{
    constexpr int items = 200000;
    BoundedRing<int> ring(64);
    std::thread producer([&ring] {
        for (int item = 0; item < items;) {
            if (ring.push(int { item })) {
                ++item;
            } else {
                std::this_thread::yield();
            }
        }
    });
    int expected = 0;
    while (expected < items) {
        if (const auto item = ring.pop()) {
            REQUIRE(*item == expected);
            ++expected;
        } else {
            std::this_thread::yield();
        }
    }
    producer.join();
}

// Guards against a ring that grows or overwrites items when its consumer is slow.
TEST_CASE("a full ring rejects a new item and keeps the queued ones")
{
    BoundedRing<int> ring(2);
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    CHECK(ring.pop() == 1);
    CHECK(ring.push(4));
    CHECK(ring.pop() == 2);
    CHECK(ring.pop() == 4);
    CHECK_FALSE(ring.pop().has_value());
}
