#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryferry {

// An IPv4 prefix in host byte order.
struct Prefix {
    std::uint32_t address { 0 };
    std::uint8_t length { 0 }; // bits, 0 to 32

    bool contains(std::uint32_t candidate) const
    {
        return this->length == 0 || (candidate ^ this->address) >> (32U - this->length) == 0;
    }
};

// Callers whose source address is in one of the prefixes. Source: configuration document.
struct CallerGroup {
    std::string name;
    std::vector<Prefix> prefixes;
};

}
