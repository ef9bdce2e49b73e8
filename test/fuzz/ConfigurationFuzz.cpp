#include "FuzzTarget.h"

#include "protocol/ConfigurationDocument.h"
#include "protocol/ConfigurationError.h"
#include "protocol/InstanceList.h"
#include "state/ConfigurationView.h"

#include <memory>
#include <string_view>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace chicoryferry;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    try {
        const auto configuration = std::make_shared<const Configuration>(parseConfiguration(text));
        const ConfigurationView view(configuration, std::make_shared<const InstanceList>(), {});
        view.callerGroupOf(0);
    } catch (const ConfigurationError&) {
        // Most inputs are not valid documents.
    }
    try {
        parseInstanceList(text);
    } catch (const ConfigurationError&) {
        return 0;
    }
    return 0;
}
