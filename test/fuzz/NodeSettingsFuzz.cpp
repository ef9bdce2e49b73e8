#include "FuzzTarget.h"

#include "platform/SettingsFile.h"
#include "support/UserError.h"

#include <string>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    try {
        chicoryferry::platform::parseSettingsFile(std::string(reinterpret_cast<const char*>(data), size));
    } catch (const chicoryferry::UserError&) {
        return 0; // refused with a reason
    }
    return 0;
}
