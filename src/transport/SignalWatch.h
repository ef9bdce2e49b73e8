#pragma once

namespace chicoryferry {

// Turns SIGTERM and SIGINT into a readable descriptor. Construct it before any thread starts, because threads inherit
// the signal mask. SIGPIPE is ignored: writes report EPIPE instead.
class SignalWatch {
public:
    // Throws InternalError when no descriptor can be had.
    SignalWatch();
    ~SignalWatch();
    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

    int descriptor() const { return this->signalDescriptor; }

    // Takes the pending signals. Returns true when there was one.
    bool consume() const;

private:
    int signalDescriptor;
};

}
