#pragma once

#include "protocol/DocumentKind.h"
#include "protocol/Endpoint.h"
#include "transport/BoundedRing.h"
#include "transport/Wakeup.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

namespace chicoryferry {

// One question to the platform.
struct PlatformQuestion {
    std::uint64_t after { 0 };
    std::chrono::seconds wait { 0 };
};

// What came of a question.
struct PlatformReport {
    enum class Result {
        Document,
        Unchanged,
        Failed,
    };

    Result result { Result::Failed };
    std::string text; // Document: the document; Failed: the reason
    std::string step; // Failed: during which step
    std::chrono::steady_clock::time_point askedAt;
    std::chrono::steady_clock::time_point answeredAt;
};

// The thread that asks the platform for one document, a question at a time, because the HTTP client blocks.
class PlatformWatch {
public:
    // onReport is notified when a report waits. It must outlive this object.
    PlatformWatch(const Endpoint& platform, DocumentKind, const Wakeup& onReport);
    ~PlatformWatch();
    PlatformWatch(const PlatformWatch&) = delete;
    PlatformWatch& operator=(const PlatformWatch&) = delete;

    void start();

    // Waits for the question that is under way. Idempotent.
    void stop();

    // Returns false while another question waits. Control thread only.
    bool ask(const PlatformQuestion&);

    // Control thread only.
    std::optional<PlatformReport> takeReport();

private:
    void run();
    PlatformReport answer(const PlatformQuestion&) const;

    Endpoint platform;
    DocumentKind kind;
    const Wakeup& onReport;
    Wakeup onQuestion;
    BoundedRing<PlatformQuestion> questions { 1 };
    BoundedRing<PlatformReport> reports { 2 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
