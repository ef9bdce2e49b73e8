#include "BackendStandin.h"

#include "BackendServer.h"
#include "ControlServer.h"
#include "StandinLoop.h"
#include "StandinOptions.h"

namespace chicoryferry::standins {

int runBackendStandin(const std::vector<std::string>& arguments)
{
    const StandinOptions options(arguments, { "--listen", "--service", "--host", "--slots" });
    StandinLoop loop;
    loop.watchStopSignals();
    BackendSettings settings;
    settings.slots = std::stoul(options.text("--slots", "2"));
    const BackendServer server(loop, options.listenAddress("--listen"), options.text("--service", "service"),
        options.text("--host", "host"), settings);
    printEvent({ { "event", "listening" }, { "address", formatEndpoint(server.address()) } });
    loop.run();
    return 0;
}

}
