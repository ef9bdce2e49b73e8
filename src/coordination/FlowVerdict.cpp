#include "coordination/FlowVerdict.h"

#include <array>

namespace chicoryferry {

std::string_view flowVerdictName(FlowVerdict verdict)
{
    constexpr std::array<std::string_view, 8> names { "admitted", "owned", "refused_full", "refused_leaving",
        "refused_by_backend_server", "wrong_service", "not_found", "lost" };
    return names[static_cast<std::size_t>(verdict)];
}

}
