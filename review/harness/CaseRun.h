#pragma once

#include "Record.h"
#include "Wire.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>

namespace review {

// Exit statuses of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

// The environment of a case: its record, a temporary folder, and a loopback network of its own.
class CaseRun {
public:
    explicit CaseRun(const std::string& recordPath)
        : record(recordPath)
        , folder(makeFolder())
        , network(0x7F400000U + ((static_cast<std::uint32_t>(getpid()) & 0x3FFFU) << 8U))
    {
    }

    ~CaseRun() { std::filesystem::remove_all(this->folder); }
    CaseRun(const CaseRun&) = delete;
    CaseRun& operator=(const CaseRun&) = delete;

    // Whether the case shall play the disruption.
    static bool hasTrouble()
    {
        const char* trouble = std::getenv("TROUBLE");
        return trouble == nullptr || std::string(trouble) != "0";
    }

    std::uint32_t ip(std::uint32_t number) const { return this->network + number; }

    static void sleepUntil(Clock::time_point at) { std::this_thread::sleep_until(at); }

    // Copies the lines of a process's log that contain one of the words to the record.
    void quoteLog(const std::string& path, std::initializer_list<std::string> words)
    {
        std::ifstream log(path);
        for (std::string line; std::getline(log, line);) {
            for (const std::string& word : words) {
                if (line.find(word) != std::string::npos) {
                    this->record.line("log: " + line);
                    break;
                }
            }
        }
    }

    Record record;
    const std::string folder;

private:
    static std::string makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "chicoryferry-review-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        return name;
    }

    std::uint32_t network;
};

}
