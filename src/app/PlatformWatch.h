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

// A query to the platform for a version newer than `after`; the platform may delay its answer for up to `wait` until
// there is one.
struct PlatformQuery {
    std::uint64_t after { 0 };
    std::chrono::seconds wait { 0 };
};

// The result of a query.
struct PlatformReport {
    enum class Result {
        Document,
        Unchanged,
        Failed,
    };

    Result result { Result::Failed };
    std::string text; // Document: the document text; Failed: the error message
    std::string step; // Failed: the step that failed
    std::chrono::steady_clock::time_point requestedAt;
    std::chrono::steady_clock::time_point answeredAt;
};

// Queries the platform for one kind of document on a thread of its own, because the HTTP client blocks. One query at a
// time.
class PlatformWatch {
public:
    // Notifies onReport when a report is available. onReport must outlive this object.
    PlatformWatch(const Endpoint& platform, DocumentKind, const Wakeup& onReport);
    ~PlatformWatch();
    PlatformWatch(const PlatformWatch&) = delete;
    PlatformWatch& operator=(const PlatformWatch&) = delete;

    void start();

    // Waits for a pending query to finish, then stops the thread. Idempotent.
    void stop();

    // Queues a query. Returns false while another one is queued. Control thread only.
    bool startQuery(const PlatformQuery&);

    // Returns the next report, if any. Control thread only.
    std::optional<PlatformReport> takeReport();

private:
    void run();
    PlatformReport runQuery(const PlatformQuery&) const;

    Endpoint platform;
    DocumentKind kind;
    const Wakeup& onReport;
    Wakeup onQuery;
    BoundedRing<PlatformQuery> queries { 1 };
    BoundedRing<PlatformReport> reports { 2 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
