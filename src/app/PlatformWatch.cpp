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
    this->onQuestion.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool PlatformWatch::ask(const PlatformQuestion& question)
{
    if (!this->questions.push(PlatformQuestion { question })) {
        return false;
    }
    this->onQuestion.notify();
    return true;
}

std::optional<PlatformReport> PlatformWatch::takeReport() { return this->reports.pop(); }

void PlatformWatch::run()
{
    constexpr int noTimeout = -1;
    while (!this->stopping) {
        pollfd waiting { this->onQuestion.descriptor(), POLLIN, 0 };
        poll(&waiting, 1, noTimeout);
        this->onQuestion.clear();
        while (const auto question = this->questions.pop()) {
            if (this->stopping) {
                return;
            }
            this->reports.push(this->answer(*question));
            this->onReport.notify();
        }
    }
}

PlatformReport PlatformWatch::answer(const PlatformQuestion& question) const
{
    PlatformReport report;
    report.askedAt = std::chrono::steady_clock::now();
    try {
        const PlatformClient client(this->platform);
        if (auto text = client.read(this->kind, question.after, question.wait)) {
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
