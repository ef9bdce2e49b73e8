#include "transport/Wakeup.h"

#include "support/InternalError.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace chicoryferry {

Wakeup::Wakeup()
    : eventDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    internalAssert(this->eventDescriptor >= 0, "create wakeup", "eventfd failed");
}

Wakeup::~Wakeup() { close(this->eventDescriptor); }

void Wakeup::notify() const
{
    const std::uint64_t one = 1;
    // Fails only when the counter is at its maximum, and then the descriptor is already readable.
    [[maybe_unused]] const auto written = write(this->eventDescriptor, &one, sizeof(one));
}

void Wakeup::clear() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto consumed = read(this->eventDescriptor, &count, sizeof(count));
}

}
