#include "FuzzTarget.h"

#include "platform/StoreDocuments.h"
#include "state/HostDirectory.h"
#include "support/UserError.h"

#include <cstdlib>
#include <string>

using namespace chicoryferry;

// The first byte selects the parser for the rest of the input.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    HostDirectory directory;
    const auto apply = [&](const platform::StoreAnswer& answer) {
        for (const DirectoryChange& change : answer.changes) {
            const std::uint64_t before = directory.routes().version;
            directory.apply(change, {});
            if (directory.routes().version < before) {
                std::abort();
            }
        }
    };
    try {
        switch (data[0] % 4) {
        case 0:
            apply(platform::parseListAnswer(text));
            break;
        case 1:
            apply(platform::parseWatchAnswer(text));
            break;
        case 2:
            platform::parseRouteTable(text);
            break;
        default:
            platform::parseHostEntry("i-1", text);
        }
    } catch (const UserError&) {
        return 0; // refused with a reason
    }
    return 0;
}
