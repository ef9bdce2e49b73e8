#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryferry {

// A request's body on its way from the edge to a run. The first bytes are kept until more than retainedBytes have come,
// so that the request can be sent again; memory is bounded by about twice that. No input or output.
class RequestBodyBuffer {
public:
    static constexpr std::size_t retainedBytes = 64UL * 1024;

    // expected: false for a request without a body.
    explicit RequestBodyBuffer(bool expected);

    // Bytes from the edge; last: the body is complete. Returns false, taking nothing, after the end of the body or
    // beyond the credit given.
    bool append(std::string data, bool last);

    bool isComplete() const { return this->complete; }
    std::uint64_t received() const { return this->receivedBytes; }

    // True when no more than retainedBytes can have to be kept: the body is complete, or the buffer is full.
    bool isReadyToPlace() const { return this->complete || this->receivedBytes >= retainedBytes; }

    // True when the whole body is held.
    bool isRetained() const { return this->complete && this->bufferStart == 0; }

    // Starts a run from the first byte. Returns false when it is gone.
    bool restart();

    // The next bytes for the run, all that have come.
    std::string takeForRun();
    std::uint64_t sent() const { return this->sentBytes; }
    bool everythingSent() const { return this->sentBytes == this->receivedBytes; }

    // True when the run has all that has come, and the edge may send more.
    bool waitsForCaller() const
    {
        return !this->complete && this->everythingSent() && this->receivedBytes < this->creditGiven;
    }

    // The run has taken this many more bytes.
    void taken(std::size_t bytes);

    // Further bytes that the edge may send, on top of earlier results.
    std::size_t takeCredit();

private:
    bool complete;
    std::string buffer; // the bytes from bufferStart to receivedBytes
    std::uint64_t bufferStart { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t takenBytes { 0 };
    std::uint64_t creditGiven { 0 };
};

}
