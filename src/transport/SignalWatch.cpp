#include "transport/SignalWatch.h"

#include "support/InternalError.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

}

SignalWatch::SignalWatch()
    : signalDescriptor(-1)
{
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // NOLINTNEXTLINE(performance-no-int-to-ptr): SIG_IGN is defined by the C library as a cast integer.
    std::signal(SIGPIPE, SIG_IGN);
    this->signalDescriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    internalAssert(this->signalDescriptor >= 0, "watch signals", "signalfd failed");
}

SignalWatch::~SignalWatch() { close(this->signalDescriptor); }

SignalWatch::Requests SignalWatch::consume() const
{
    signalfd_siginfo information {};
    Requests requests;
    while (read(this->signalDescriptor, &information, sizeof(information)) == sizeof(information)) {
        const bool reload = information.ssi_signo == SIGHUP;
        requests.reload = requests.reload || reload;
        requests.stop = requests.stop || !reload;
    }
    return requests;
}

}
