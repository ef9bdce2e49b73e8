#pragma once

namespace chicoryferry {

// An eventfd by which one thread wakes another that polls its descriptor.
class Wakeup {
public:
    // Throws InternalError when no descriptor can be had.
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    // Makes the descriptor readable. Any thread, and signal handlers.
    void notify() const;

    // Makes the descriptor unreadable again. Polling thread only.
    void clear() const;

    int descriptor() const { return this->eventDescriptor; }

private:
    int eventDescriptor;
};

}
