#pragma once

#include "app/EdgeEvent.h"
#include "protocol/HttpHead.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// One run's answer on its way to the callers that wait for it: the request that was run and those that share its run.
// Each caller gets every byte from the first, at its own pace. No input or output.
class AnswerStream {
public:
    // Bytes that may be on their way to one caller, and that a run may send ahead of its only caller.
    static constexpr std::size_t windowBytes = 256UL * 1024;
    // Bytes that a shared run may send ahead of its slowest caller. Beyond that the run is slowed to that caller, whose
    // progress the edge bounds. A caller that is left out instead would see a truncated answer or cost a second run.
    static constexpr std::size_t sharedBytes = 1024UL * 1024;
    // Smallest further credit; well below windowBytes, so that the run does not wait for it.
    static constexpr std::size_t creditStepBytes = 64UL * 1024;

    // keepFromStart: hold the first sharedBytes, so that callers can join after the answer began.
    explicit AnswerStream(bool keepFromStart);

    // Returns false when the first bytes of the answer are gone.
    bool addReader(std::uint64_t request);
    void removeReader(std::uint64_t request);
    bool hasReader(std::uint64_t request) const { return this->readers.contains(request); }
    std::size_t readerCount() const { return this->readers.size(); }
    std::vector<std::uint64_t> readerList() const;

    void setHead(HttpAnswerHead);
    bool hasHead() const { return this->head.has_value(); }
    unsigned status() const { return this->head ? this->head->status : 0; }
    void append(std::string data);

    // complete: every byte of the answer was appended.
    void finish(bool complete);
    bool isFinished() const { return this->finished; }

    // Bytes appended so far.
    std::uint64_t received() const { return this->receivedBytes; }

    // The edge has passed on the reader's bytes.
    void consumed(std::uint64_t request, std::size_t bytes);

    // Moves out what the readers may get now. A reader that gets its AnswerFinish is removed.
    std::vector<EdgeEvent> takeEvents();

    // Further bytes that the run may send, on top of credit() before the call. Given in steps, so that few messages are
    // needed.
    std::size_t takeCredit();

    // Total bytes that the run may send; a new run of the request starts with this.
    std::size_t credit() const { return this->creditGiven; }

    // True when the run has sent all that it may send, so that silence is expected of it.
    bool isBlockedByReaders() const { return this->receivedBytes >= this->creditGiven; }

private:
    struct Reader {
        bool started { false };
        std::uint64_t sent { 0 };
        std::uint64_t consumed { 0 };
    };

    void takeReaderEvents(std::uint64_t request, Reader&, std::vector<EdgeEvent>&);
    bool isAtEnd(const Reader&) const;
    void trim();

    bool keepFromStart;
    std::optional<HttpAnswerHead> head;
    std::string buffer; // the bytes from bufferStart to receivedBytes
    std::uint64_t bufferStart { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t creditGiven { windowBytes };
    bool finished { false };
    bool complete { false };
    std::map<std::uint64_t, Reader> readers;
};

}
