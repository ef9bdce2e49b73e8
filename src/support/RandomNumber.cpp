#include "support/RandomNumber.h"

#include <random>

namespace chicoryferry {

std::uint64_t drawRandomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}
