#include "coordination/FirstPacketTransmissions.h"

namespace chicoryferry {

namespace {

// The caller retransmits its first packet after 200 ms and again after 600 ms.
constexpr std::chrono::milliseconds firstRetransmissionAge { 200 };
constexpr std::chrono::milliseconds secondRetransmissionAge { 600 };

std::uint32_t transmissionsAfterFirst(std::chrono::milliseconds age)
{
    if (age < firstRetransmissionAge) {
        return 0;
    }
    return age < secondRetransmissionAge ? 1 : 2;
}

}

std::chrono::milliseconds FirstPacketTransmissions::ageOf(std::uint32_t number)
{
    if (number == 0) {
        return std::chrono::milliseconds(0);
    }
    return number == 1 ? firstRetransmissionAge : secondRetransmissionAge;
}

void FirstPacketTransmissions::record(std::uint32_t number, TimePoint now)
{
    if (!this->recorded) {
        this->recorded = true;
        this->sentAt = now - ageOf(number);
        this->firstNumber = number;
        this->lastNumber = number;
        this->missed = number > 0;
    } else if (number > this->lastNumber) {
        this->missed = this->missed || number > this->lastNumber + 1;
        this->lastNumber = number;
    }
}

std::chrono::milliseconds FirstPacketTransmissions::age(TimePoint now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - this->sentAt);
}

bool FirstPacketTransmissions::isComplete(TimePoint now) const
{
    return !this->missed && transmissionsAfterFirst(this->age(now)) <= this->lastNumber;
}

}
