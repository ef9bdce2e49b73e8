#include "app/AnswerStream.h"

#include <algorithm>

namespace chicoryferry {

AnswerStream::AnswerStream(bool keep)
    : keepFromStart(keep)
{
}

bool AnswerStream::addReader(std::uint64_t request)
{
    if (this->bufferStart > 0 || (this->finished && !this->complete)) {
        return false;
    }
    this->readers.try_emplace(request);
    return true;
}

void AnswerStream::removeReader(std::uint64_t request)
{
    this->readers.erase(request);
    this->trim();
}

std::vector<std::uint64_t> AnswerStream::readerList() const
{
    std::vector<std::uint64_t> list;
    list.reserve(this->readers.size());
    for (const auto& [request, reader] : this->readers) {
        list.push_back(request);
    }
    return list;
}

void AnswerStream::setHead(HttpAnswerHead answerHead) { this->head = std::move(answerHead); }

void AnswerStream::append(std::string data)
{
    this->receivedBytes += data.size();
    if (this->buffer.empty()) {
        this->buffer = std::move(data);
    } else {
        this->buffer += data;
    }
}

void AnswerStream::finish(bool isComplete)
{
    this->finished = true;
    this->complete = isComplete;
}

void AnswerStream::consumed(std::uint64_t request, std::size_t bytes)
{
    const auto found = this->readers.find(request);
    if (found != this->readers.end()) {
        Reader& reader = found->second;
        reader.consumed = std::min<std::uint64_t>(reader.consumed + bytes, reader.sent);
    }
}

bool AnswerStream::isAtEnd(const Reader& reader) const { return this->finished && reader.sent == this->receivedBytes; }

void AnswerStream::takeReaderEvents(std::uint64_t request, Reader& reader, std::vector<EdgeEvent>& events)
{
    if (!this->head) {
        return;
    }
    if (!reader.started) {
        reader.started = true;
        events.emplace_back(AnswerStart { request, *this->head });
    }
    const std::uint64_t window = windowBytes - (reader.sent - reader.consumed);
    const std::uint64_t bytes = std::min(this->receivedBytes - reader.sent, window);
    if (bytes > 0) {
        const std::size_t offset = reader.sent - this->bufferStart;
        events.emplace_back(AnswerData { request, this->buffer.substr(offset, bytes) });
        reader.sent += bytes;
    }
    if (this->isAtEnd(reader)) {
        events.emplace_back(AnswerFinish { request, this->complete });
    }
}

std::vector<EdgeEvent> AnswerStream::takeEvents()
{
    std::vector<EdgeEvent> events;
    for (auto& [request, reader] : this->readers) {
        this->takeReaderEvents(request, reader, events);
    }
    std::erase_if(
        this->readers, [this](const auto& entry) { return entry.second.started && this->isAtEnd(entry.second); });
    this->trim();
    return events;
}

void AnswerStream::trim()
{
    if (this->keepFromStart && this->receivedBytes <= sharedWindowBytes) {
        return;
    }
    std::uint64_t needed = this->receivedBytes;
    for (const auto& [request, reader] : this->readers) {
        needed = std::min(needed, reader.sent);
    }
    this->buffer.erase(0, needed - this->bufferStart);
    this->bufferStart = needed;
}

std::size_t AnswerStream::takeCredit()
{
    std::uint64_t slowest = this->receivedBytes;
    for (const auto& [request, reader] : this->readers) {
        slowest = std::min(slowest, reader.consumed);
    }
    const std::uint64_t allowed = slowest + (this->readers.size() > 1 ? sharedWindowBytes : windowBytes);
    if (allowed < this->creditGiven + creditStepBytes) {
        return 0;
    }
    const std::uint64_t further = allowed - this->creditGiven;
    this->creditGiven = allowed;
    return further;
}

}
