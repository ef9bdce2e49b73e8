#pragma once

namespace chicoryferry {

// Turns SIGTERM, SIGINT (stop) and SIGHUP (reload) into a readable descriptor. Construct it before any thread starts,
// because threads inherit the signal mask. SIGPIPE is ignored: writes report EPIPE instead.
class SignalWatch {
public:
    // Requests received since the last consume().
    struct Requests {
        bool stop { false };
        bool reload { false };
    };

    // Throws InternalError when the descriptor cannot be created.
    SignalWatch();
    ~SignalWatch();
    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

    int descriptor() const { return this->signalDescriptor; }

    // Reads the pending signals.
    Requests consume() const;

private:
    int signalDescriptor;
};

}
