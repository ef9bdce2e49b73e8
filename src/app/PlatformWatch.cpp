#include "app/PlatformWatch.h"

#include "support/Error.h"
#include "transport/PlatformClient.h"

#include <poll.h>

namespace chicoryferry {

PlatformWatch::PlatformWatch(const Endpoint& platformEndpoint, DocumentKind documentKind, const Wakeup& reportWakeup)
    : platform(platformEndpoint)
    , kind(documentKind)
    , onReport(reportWakeup)
{
}

PlatformWatch::~PlatformWatch() { this->stop(); }

void PlatformWatch::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void PlatformWatch::stop()
{
    this->stopping = true;
    this->onQuery.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool PlatformWatch::startQuery(const PlatformQuery& query)
{
    if (!this->queries.push(PlatformQuery { query })) {
        return false;
    }
    this->onQuery.notify();
    return true;
}

std::optional<PlatformReport> PlatformWatch::takeReport() { return this->reports.pop(); }

void PlatformWatch::run()
{
    constexpr int noTimeout = -1;
    while (!this->stopping) {
        pollfd waiting { this->onQuery.descriptor(), POLLIN, 0 };
        poll(&waiting, 1, noTimeout);
        this->onQuery.clear();
        while (const auto query = this->queries.pop()) {
            if (this->stopping) {
                return;
            }
            this->reports.push(this->runQuery(*query));
            this->onReport.notify();
        }
    }
}

PlatformReport PlatformWatch::runQuery(const PlatformQuery& query) const
{
    PlatformReport report;
    report.requestedAt = std::chrono::steady_clock::now();
    try {
        const PlatformClient client(this->platform);
        if (auto text = client.read(this->kind, query.after, query.wait)) {
            report.result = PlatformReport::Result::Document;
            report.text = std::move(*text);
        } else {
            report.result = PlatformReport::Result::Unchanged;
        }
    } catch (const Error& error) {
        report.text = error.what();
        report.step = error.step();
    }
    report.answeredAt = std::chrono::steady_clock::now();
    return report;
}

}
