#include "app/RequestBodyBuffer.h"

#include <algorithm>

namespace chicoryferry {

RequestBodyBuffer::RequestBodyBuffer(bool expected)
    : complete(!expected)
{
}

bool RequestBodyBuffer::append(std::string data, bool last)
{
    if (this->complete || this->receivedBytes + data.size() > this->creditGiven) {
        return false;
    }
    // Beyond retainedBytes the body cannot be sent again, so the bytes already sent to the run are released.
    if (this->receivedBytes + data.size() > retainedBytes) {
        this->buffer.erase(0, this->sentBytes - this->bufferStart);
        this->bufferStart = this->sentBytes;
    }
    this->receivedBytes += data.size();
    if (this->buffer.empty()) {
        this->buffer = std::move(data);
    } else {
        this->buffer += data;
    }
    this->complete = last;
    return true;
}

bool RequestBodyBuffer::restart()
{
    if (this->bufferStart > 0) {
        return false;
    }
    this->sentBytes = 0;
    this->consumedBytes = 0;
    return true;
}

std::string RequestBodyBuffer::takeForRun()
{
    std::string data = this->buffer.substr(this->sentBytes - this->bufferStart);
    this->sentBytes = this->receivedBytes;
    return data;
}

void RequestBodyBuffer::consumed(std::size_t bytes)
{
    this->consumedBytes = std::min<std::uint64_t>(this->consumedBytes + bytes, this->sentBytes);
}

std::size_t RequestBodyBuffer::takeCredit()
{
    const std::uint64_t allowed = this->complete ? this->creditGiven : this->consumedBytes + retainedBytes;
    if (allowed <= this->creditGiven) {
        return 0;
    }
    const std::uint64_t further = allowed - this->creditGiven;
    this->creditGiven = allowed;
    return further;
}

}
