#pragma once

#include <cstdint>
#include <string>

namespace chicoryferry {

// An availability zone of which an earlier era of the store holds for a while what the present one may have forgotten.
struct RetainedZone {
    std::string name;
    bool requested { false }; // the store has a request to evacuate the zone
    std::uint64_t revision { 0 }; // of this request
    bool evacuated { false }; // in force until the retention ends
};

}
