#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Writes record.txt: one line for each event, with the milliseconds since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << this->elapsed(Clock::now()).count() << " " << text << "\n";
        this->file.flush();
    }

    Milliseconds elapsed(Clock::time_point at) const
    {
        return std::chrono::duration_cast<Milliseconds>(at - this->start);
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start { Clock::now() };
};

}
