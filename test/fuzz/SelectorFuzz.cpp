#include "FuzzTarget.h"

#include "protocol/Selector.h"
#include "support/UserError.h"

#include <string_view>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    try {
        const std::string_view text(reinterpret_cast<const char*>(data), size);
        chicoryferry::Selector::parse(text).matches({ { "service", "job" }, { "tier", "a" } });
    } catch (const chicoryferry::UserError&) {
        return 0;
    }
    return 0;
}
