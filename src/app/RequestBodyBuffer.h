#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryferry {

// Buffers a request body between the edge and a run. The body is retained from its first byte until more than
// retainedBytes have been received, so that it can be sent again; memory is bounded by about twice that. Performs no
// I/O.
class RequestBodyBuffer {
public:
    static constexpr std::size_t retainedBytes = 64UL * 1024;

    // expected: false for a request without a body.
    explicit RequestBodyBuffer(bool expected);

    // Appends bytes from the edge; last: the body is complete. Returns false and appends nothing after the end of the
    // body or when the credit is exceeded.
    bool append(std::string data, bool last);

    bool isComplete() const { return this->complete; }
    std::uint64_t received() const { return this->receivedBytes; }

    // True when placement does not have to wait for more of the body: it is complete, or retainedBytes have been
    // received.
    bool isReadyToPlace() const { return this->complete || this->receivedBytes >= retainedBytes; }

    // True when the whole body is buffered.
    bool isRetained() const { return this->complete && this->bufferStart == 0; }

    // Rewinds to the first byte for a new run. Returns false when that byte is no longer buffered.
    bool restart();

    // Returns all received bytes that were not sent to the run yet, and marks them as sent.
    std::string takeForRun();
    std::uint64_t sent() const { return this->sentBytes; }
    bool everythingSent() const { return this->sentBytes == this->receivedBytes; }

    // True when all received bytes were sent to the run, and the edge has credit to send more.
    bool waitsForCaller() const
    {
        return !this->complete && this->everythingSent() && this->receivedBytes < this->creditGiven;
    }

    // Records that the run has consumed this many more bytes.
    void consumed(std::size_t bytes);

    // Returns how many further bytes the edge may send, on top of earlier results.
    std::size_t takeCredit();

private:
    bool complete;
    std::string buffer; // the bytes from bufferStart to receivedBytes
    std::uint64_t bufferStart { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t consumedBytes { 0 };
    std::uint64_t creditGiven { 0 };
};

}
