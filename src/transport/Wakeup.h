#pragma once

namespace chicoryferry {

// An eventfd by which one thread wakes another that polls its descriptor.
class Wakeup {
public:
    // Throws InternalError when the descriptor cannot be created.
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    // Makes the descriptor readable. May be called from any thread and from signal handlers.
    void notify() const;

    // Makes the descriptor unreadable again. Polling thread only.
    void clear() const;

    int descriptor() const { return this->eventDescriptor; }

private:
    int eventDescriptor;
};

}
