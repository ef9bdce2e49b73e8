#include "coordination/FlowVerdict.h"

#include <array>

namespace chicoryferry {

bool isRefusal(FlowVerdict verdict)
{
    switch (verdict) {
    case FlowVerdict::Admitted:
    case FlowVerdict::Owned:
    case FlowVerdict::NotFound:
    case FlowVerdict::MayHold:
        return false;
    case FlowVerdict::RefusedFull:
    case FlowVerdict::RefusedLeaving:
    case FlowVerdict::RefusedByBackendServer:
    case FlowVerdict::RefusedEvacuated:
    case FlowVerdict::WrongService:
    case FlowVerdict::Lost:
        break;
    }
    return true;
}

std::string_view flowVerdictName(FlowVerdict verdict)
{
    constexpr std::array<std::string_view, 10> names { "admitted", "owned", "refused_full", "refused_leaving",
        "refused_by_backend_server", "wrong_service", "not_found", "lost", "may_hold", "refused_evacuated" };
    return names[static_cast<std::size_t>(verdict)];
}

}
