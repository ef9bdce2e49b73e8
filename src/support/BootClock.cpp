#include "support/BootClock.h"

#include <ctime>

namespace chicoryferry {

std::chrono::nanoseconds timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}
