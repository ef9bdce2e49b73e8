#include "protocol/HopByHopHeaders.h"

#include <algorithm>
#include <array>

namespace chicoryferry {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "transfer-encoding", "content-length",
    "keep-alive", "te", "trailer", "upgrade", "expect", "proxy-connection" };

char lower(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; }

}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char first, char second) { return lower(first) == lower(second); });
}

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && equalsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
        [name](std::string_view known) { return equalsIgnoringCase(name, known); });
}

}
