#include "transport/BackendConnection.h"

#include "protocol/HopByHopHeaders.h"
#include "transport/SocketAddress.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

// Longer than the keepalive time-out of caller flows (35 s, see TcpStack.cpp), so that a dead caller is detected first.
constexpr std::chrono::milliseconds requestBodyStallLimit = std::chrono::seconds(40);
// Bounds how long one connection with a large answer occupies the data thread in each call of advance().
constexpr int readsPerAdvance = 4;
constexpr std::string_view deadlineHeader = "Chicoryferry-Deadline-Ms";
constexpr std::string_view ownHeaderPrefix = "Chicoryferry-";
constexpr std::string_view outcomeHeader = "Chicoryferry-Outcome";

int startConnect(const Endpoint& server)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const sockaddr_in address = toSocketAddress(server);
    const int result = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result != 0 && errno != EINPROGRESS) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string formatHead(const HttpRequestHead& head, const Endpoint& server, std::chrono::milliseconds deadline)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    bool hasHost = false;
    for (const auto& [name, value] : head.headers) {
        if (isHopByHopHeader(name) || equalsIgnoringCase(name, deadlineHeader)) {
            continue;
        }
        hasHost = hasHost || equalsIgnoringCase(name, "host");
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!hasHost) {
        text += fmt::format("Host: {}\r\n", formatEndpoint(server));
    }
    if (head.framing == BodyFraming::ContentLength) {
        text += fmt::format("Content-Length: {}\r\n", head.contentLength);
    } else if (head.framing == BodyFraming::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += fmt::format(
        "{}: {}\r\nConnection: close\r\n\r\n", deadlineHeader, std::max<std::int64_t>(deadline.count(), 0));
    return text;
}

bool isShed(const HttpAnswerHead& head)
{
    return head.status == 503 && std::any_of(head.headers.begin(), head.headers.end(), [](const auto& header) {
        return equalsIgnoringCase(header.first, outcomeHeader) && equalsIgnoringCase(header.second, "not-run");
    });
}

}

BackendConnection::BackendConnection(TimePoint now, std::uint64_t runIdentifier, const Endpoint& server,
    const HttpRequestHead& head, std::chrono::milliseconds deadline, std::size_t credit)
    : run(runIdentifier)
    , requestFraming(head.framing)
    , parser(head.method == "HEAD",
          { [this](HttpAnswerHead answer) { this->deliverHead(std::move(answer), *this->sink); },
              [this](std::string_view bytes) { this->consume(bytes, *this->sink); } })
    , socketDescriptor(startConnect(server))
    , outgoing(formatHead(head, server, deadline))
    , headBytesLeft(outgoing.size())
    , bodyEnded(
          head.framing == BodyFraming::None || (head.framing == BodyFraming::ContentLength && head.contentLength == 0))
    , answerCredit(credit)
    , lastProgress(now)
{
}

BackendConnection::~BackendConnection()
{
    if (this->socketDescriptor >= 0) {
        close(this->socketDescriptor);
    }
}

std::uint32_t BackendConnection::interest() const
{
    std::uint32_t events = 0;
    if (!this->outgoing.empty() && !this->writeFailed) {
        events |= EPOLLOUT;
    }
    if (this->answerCredit > 0) {
        events |= EPOLLIN;
    }
    return events;
}

std::string BackendConnection::encodeBody(std::string data, bool last) const
{
    if (this->requestFraming != BodyFraming::Chunked) {
        return data;
    }
    std::string encoded;
    if (!data.empty()) {
        encoded = fmt::format("{:x}\r\n{}\r\n", data.size(), data);
    }
    if (last) {
        encoded += "0\r\n\r\n";
    }
    return encoded;
}

void BackendConnection::addBody(TimePoint now, std::string data, bool last)
{
    if (this->bodyEnded || this->ended) {
        return;
    }
    if (this->waitsForRequestBody()) {
        this->lastProgress = now;
    }
    this->bodyBytesLeft += data.size();
    this->bodyEnded = last;
    this->outgoing += this->encodeBody(std::move(data), last);
}

void BackendConnection::addAnswerCredit(TimePoint now, std::size_t bytes)
{
    if (this->answerCredit == 0) {
        this->lastProgress = now;
    }
    this->answerCredit += bytes;
}

BackendConnection::Events BackendConnection::advance(TimePoint now, std::span<char> buffer)
{
    Events events;
    if (this->socketDescriptor < 0 && !this->ended) {
        this->fail("connection_refused", events);
        return events;
    }
    this->write(now, events);
    this->read(now, buffer, events);
    return events;
}

void BackendConnection::write(TimePoint now, Events& events)
{
    while (!this->ended && !this->outgoing.empty() && !this->writeFailed) {
        const ssize_t sent
            = send(this->socketDescriptor, this->outgoing.data(), this->outgoing.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            if (errno == EAGAIN || errno == EINTR || errno == ENOTCONN) {
                return;
            }
            if (!this->anySent) {
                this->fail(errno == ECONNREFUSED ? "connection_refused" : "connect_failed", events);
                return;
            }
            // The backend server may have answered before it read the whole request.
            this->writeFailed = true;
            return;
        }
        this->anySent = true;
        this->lastProgress = now;
        const auto sentBytes = static_cast<std::size_t>(sent);
        this->outgoing.erase(0, sentBytes);
        const std::size_t headPart = std::min(this->headBytesLeft, sentBytes);
        this->headBytesLeft -= headPart;
        // A partial write may count bytes of chunk framing as body bytes; the sum over all writes is exact.
        const std::uint64_t bodyPart = this->outgoing.empty()
            ? this->bodyBytesLeft
            : std::min<std::uint64_t>(this->bodyBytesLeft, sentBytes - headPart);
        this->bodyBytesLeft -= bodyPart;
        if (bodyPart > 0) {
            events.emplace_back(BackendBodyWritten { this->run, static_cast<std::size_t>(bodyPart) });
        }
    }
}

void BackendConnection::read(TimePoint now, std::span<char> buffer, Events& events)
{
    for (int round = 0; round < readsPerAdvance && !this->ended && this->answerCredit > 0; ++round) {
        const std::size_t limit = std::min(buffer.size(), this->answerCredit);
        const ssize_t received = recv(this->socketDescriptor, buffer.data(), limit, MSG_DONTWAIT);
        if (received < 0) {
            const int error = errno;
            if (error == EAGAIN || error == EINTR || error == ENOTCONN) {
                return;
            }
            if (!this->anySent) {
                this->fail(error == ECONNREFUSED ? "connection_refused" : "connect_failed", events);
            } else {
                this->fail(this->headSeen ? "answer_truncated" : "connection_reset", events);
            }
            return;
        }
        if (received == 0) {
            this->sink = &events;
            this->parser.connectionClosed();
            this->sink = nullptr;
            this->finishFromParser(events);
            return;
        }
        this->lastProgress = now;
        this->sink = &events;
        this->parser.feed(std::string_view(buffer.data(), static_cast<std::size_t>(received)), limit);
        this->sink = nullptr;
        this->finishFromParser(events);
    }
}

void BackendConnection::deliverHead(HttpAnswerHead head, Events& events)
{
    this->headSeen = true;
    this->status = head.status;
    this->shed = isShed(head);
    // Only agents report outcomes to callers; header fields of the backend server must not be mistaken for theirs.
    std::erase_if(
        head.headers, [](const auto& header) { return startsWithIgnoringCase(header.first, ownHeaderPrefix); });
    if (!this->shed) {
        events.emplace_back(BackendAnswerHead { this->run, std::move(head) });
    }
}

void BackendConnection::consume(std::string_view bytes, Events& events)
{
    if (this->shed) {
        return;
    }
    this->answerCredit -= std::min(this->answerCredit, bytes.size());
    events.emplace_back(BackendAnswerData { this->run, std::string(bytes) });
}

void BackendConnection::finishFromParser(Events& events)
{
    switch (this->parser.state()) {
    case HttpAnswerParser::State::Head:
    case HttpAnswerParser::State::Body:
        return;
    case HttpAnswerParser::State::Complete:
        if (this->shed) {
            this->end({ RunOutcome::NotRun, this->status, "backend_shed" }, events);
        } else {
            this->end({ RunOutcome::Completed, this->status, {} }, events);
        }
        return;
    case HttpAnswerParser::State::Truncated:
        this->fail(this->headSeen ? "answer_truncated" : "connection_closed", events);
        return;
    case HttpAnswerParser::State::Faulty:
        this->fail("bad_answer", events);
        return;
    }
}

void BackendConnection::fail(const char* reason, Events& events)
{
    this->end({ this->anySent ? RunOutcome::Unknown : RunOutcome::NotRun, 0, reason }, events);
}

void BackendConnection::end(RunResult result, Events& events)
{
    this->ended = true;
    events.emplace_back(BackendRunEnd { this->run, std::move(result) });
}

bool BackendConnection::waitsForRequestBody() const { return !this->bodyEnded && this->outgoing.empty(); }

std::optional<std::chrono::milliseconds> BackendConnection::stallLimit(std::chrono::milliseconds backendSilence) const
{
    if (this->waitsForRequestBody() && !this->headSeen) {
        return requestBodyStallLimit;
    }
    if (this->answerCredit == 0) {
        return std::nullopt; // the caller has not read the answer so far, which blocks the backend server
    }
    return backendSilence;
}

BackendConnection::Events BackendConnection::expire(TimePoint now, std::chrono::milliseconds backendSilence)
{
    Events events;
    const auto limit = this->stallLimit(backendSilence);
    if (this->ended || !limit || now - this->lastProgress < *limit) {
        return events;
    }
    if (!this->anySent) {
        this->fail("connect_timeout", events);
    } else {
        this->fail(this->waitsForRequestBody() && !this->headSeen ? "request_body_stalled" : "backend_silence", events);
    }
    return events;
}

}
