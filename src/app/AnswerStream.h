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

// Streams the answer of one run to its readers: the request that was run and those that share its run. Each reader
// receives the answer from its first byte, at its own pace. Performs no I/O.
class AnswerStream {
public:
    // Limit of the bytes in flight to one reader, and of the bytes that a run may send ahead of its only reader.
    static constexpr std::size_t windowBytes = 256UL * 1024;
    // Limit of the bytes that a shared run may send ahead of its slowest reader. At this limit the run is throttled to
    // that reader, and the edge resets a caller's connection that makes no progress. Dropping the reader instead would
    // truncate its answer or cost a second run.
    static constexpr std::size_t sharedWindowBytes = 1024UL * 1024;
    // Smallest increment of the credit; well below windowBytes, so that the run does not stall for lack of credit.
    static constexpr std::size_t creditStepBytes = 64UL * 1024;

    // keepFromStart: retain the first sharedWindowBytes, so that readers can join after the answer has begun.
    explicit AnswerStream(bool keepFromStart);

    // Returns false when the first bytes of the answer are no longer buffered, or the answer ended incomplete.
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

    // Records that the edge has passed on this many bytes to the reader.
    void consumed(std::uint64_t request, std::size_t bytes);

    // Returns the events that the readers may receive now. A reader is removed once its AnswerFinish is returned.
    std::vector<EdgeEvent> takeEvents();

    // Returns how many further bytes the run may send, on top of credit() before the call. Credit is given in steps, to
    // limit the number of messages.
    std::size_t takeCredit();

    // Total number of bytes that the run may send; the initial credit of a new run of the request.
    std::size_t credit() const { return this->creditGiven; }

    // True when the run has used up its credit, so that it is not expected to send anything.
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
