#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry {

struct Configuration;

// A superseded configuration, reduced to the services whose host sets changed in the next version: for every other
// service, a newer record or the configuration in force has the same hosts. Without the reduction, one retention could
// hold 300 versions of a 1 MB document.
struct HistoryRecord {
    std::uint64_t version { 0 };
    std::chrono::steady_clock::time_point supersededAt;
    std::string text; // the reduced document
    std::shared_ptr<const Configuration> configuration;
};

}
