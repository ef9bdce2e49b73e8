#pragma once

#include "Loop.h"

#include <fstream>
#include <string>

namespace review {

// The record of a run: one line for each thing that was sent, answered or run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    milliseconds now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start); }

    void line(const std::string& message)
    {
        this->file << this->now().count() << " ms " << message << "\n" << std::flush;
    }

private:
    Clock::time_point start { Clock::now() };
    std::ofstream file;
};

}
