#include "BackendConnection.h"

#include "Sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry::standins {

namespace {

constexpr std::uint64_t blockBytes = 65536;
constexpr std::uint64_t pacedBlocksPerSecond = 20;

BackendConnection& connectionOf(http_parser* parser) { return *static_cast<BackendConnection*>(parser->data); }

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

}

BackendConnection::BackendConnection(StandinLoop& loopToUse, int accepted, RequestHandler requestHandler,
    AnswerHandler answerHandler, CloseHandler closeHandler)
    : loop(loopToUse)
    , descriptor(accepted)
    , onRequest(std::move(requestHandler))
    , onAnswered(std::move(answerHandler))
    , onClosed(std::move(closeHandler))
{
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
    this->loop.events().add(
        this->descriptor, EPOLLIN | EPOLLRDHUP, [this](std::uint32_t events) { this->handleEvents(events); });
}

BackendConnection::~BackendConnection()
{
    *this->alive = false;
    if (!this->closed) {
        this->loop.events().remove(this->descriptor);
    }
    close(this->descriptor);
}

int BackendConnection::parserUrl(http_parser* parser, const char* data, std::size_t length)
{
    connectionOf(parser).request.target.append(data, length);
    return 0;
}

int BackendConnection::parserField(http_parser* parser, const char* data, std::size_t length)
{
    BackendConnection& self = connectionOf(parser);
    if (self.lastWasValue) {
        self.headerName.clear();
        self.lastWasValue = false;
    }
    self.headerName.append(data, length);
    return 0;
}

int BackendConnection::parserValue(http_parser* parser, const char* data, std::size_t length)
{
    BackendConnection& self = connectionOf(parser);
    self.lastWasValue = true;
    self.request.headers[lowerCase(self.headerName)].append(data, length);
    return 0;
}

int BackendConnection::parserHeadComplete(http_parser* parser)
{
    BackendConnection& self = connectionOf(parser);
    self.request.method = http_method_str(static_cast<http_method>(parser->method));
    if (self.request.headers.contains("expect")) {
        self.output += "HTTP/1.1 100 Continue\r\n\r\n";
        self.write();
    }
    return 0;
}

int BackendConnection::parserBody(http_parser* parser, const char* data, std::size_t length)
{
    connectionOf(parser).request.body.append(data, length);
    return 0;
}

int BackendConnection::parserComplete(http_parser* parser)
{
    BackendConnection& self = connectionOf(parser);
    self.keepAlive = http_should_keep_alive(parser) != 0;
    self.requestPending = true;
    http_parser_pause(parser, 1);
    return 0;
}

void BackendConnection::handleEvents(std::uint32_t events)
{
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        this->closeConnection();
        return;
    }
    if ((events & EPOLLIN) != 0) {
        this->read();
    }
    if (!this->closed && (events & EPOLLRDHUP) != 0) {
        this->closeConnection();
        return;
    }
    if (!this->closed && (events & EPOLLOUT) != 0) {
        this->write();
    }
}

void BackendConnection::read()
{
    std::array<char, blockBytes> buffer {};
    const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        this->closeConnection();
        return;
    }
    this->input.append(buffer.data(), static_cast<std::size_t>(count));
    this->parse();
}

void BackendConnection::parse()
{
    if (this->requestPending || this->answering || this->input.empty()) {
        return;
    }
    http_parser_settings settings {};
    settings.on_url = &BackendConnection::parserUrl;
    settings.on_header_field = &BackendConnection::parserField;
    settings.on_header_value = &BackendConnection::parserValue;
    settings.on_headers_complete = &BackendConnection::parserHeadComplete;
    settings.on_body = &BackendConnection::parserBody;
    settings.on_message_complete = &BackendConnection::parserComplete;
    const std::size_t used = http_parser_execute(&this->parser, &settings, this->input.data(), this->input.size());
    const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&this->parser, 0);
    } else if (error != HPE_OK) {
        this->closeConnection();
        return;
    }
    this->input.erase(0, used);
    if (!this->requestPending) {
        return;
    }
    const BackendRequest complete = std::move(this->request);
    this->request = BackendRequest {};
    this->headerName.clear();
    this->onRequest(*this, complete);
}

void BackendConnection::answer(BackendAnswer next)
{
    if (this->closed) {
        return;
    }
    this->current = std::move(next);
    this->answering = true;
    this->bodyOffset = 0;
    this->bodyEnded = false;
    this->bodyTotal = this->current.text.empty() ? this->current.contentBytes : this->current.text.size();
    this->output += fmt::format("HTTP/1.1 {} Answer\r\n", this->current.status);
    for (const auto& [name, value] : this->current.headers) {
        this->output += fmt::format("{}: {}\r\n", name, value);
    }
    this->output += this->current.chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                          : fmt::format("Content-Length: {}\r\n\r\n", this->bodyTotal);
    this->write();
}

void BackendConnection::fillOutput()
{
    if (!this->answering || this->bodyEnded || this->paused) {
        return;
    }
    const std::uint64_t limit = std::min({ this->bodyTotal, this->current.cutAfter, this->current.stallAfter });
    std::uint64_t bytes = std::min(blockBytes, limit - this->bodyOffset);
    if (this->current.bytesPerSecond > 0) {
        bytes = std::min(bytes, std::max<std::uint64_t>(this->current.bytesPerSecond / pacedBlocksPerSecond, 1));
    }
    const std::string block = this->current.text.empty()
        ? answerContent(this->current.identity, this->bodyOffset, bytes)
        : this->current.text.substr(this->bodyOffset, bytes);
    if (this->current.chunked && bytes > 0) {
        this->output += fmt::format("{:x}\r\n{}\r\n", bytes, block);
    } else {
        this->output += block;
    }
    this->bodyOffset += bytes;
    if (this->bodyOffset == this->bodyTotal) {
        this->bodyEnded = true;
        this->output += this->current.chunked ? "0\r\n\r\n" : "";
        return;
    }
    if (this->current.bytesPerSecond > 0) {
        this->paused = true;
        this->loop.schedule(std::chrono::steady_clock::now() + std::chrono::milliseconds(1000 / pacedBlocksPerSecond),
            [this, guard = this->alive] {
                if (*guard && !this->closed) {
                    this->paused = false;
                    this->write();
                }
            });
    }
}

void BackendConnection::write()
{
    while (!this->closed) {
        if (this->outputOffset == this->output.size()) {
            this->output.clear();
            this->outputOffset = 0;
            this->fillOutput();
        }
        if (this->output.empty()) {
            break;
        }
        const ssize_t count = send(this->descriptor, this->output.data() + this->outputOffset,
            this->output.size() - this->outputOffset, MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
            break;
        }
        if (count < 0) {
            this->closeConnection();
            return;
        }
        this->outputOffset += static_cast<std::size_t>(count);
    }
    if (this->closed) {
        return;
    }
    const bool drained = this->outputOffset == this->output.size();
    if (this->answering && drained && this->bodyOffset == this->current.cutAfter && !this->bodyEnded) {
        this->closeConnection();
        return;
    }
    if (this->answering && drained && this->bodyEnded) {
        this->answerWritten();
        return;
    }
    this->updateWatchedEvents();
}

void BackendConnection::answerWritten()
{
    this->answering = false;
    this->requestPending = false;
    this->onAnswered(*this, true);
    if (!this->keepAlive) {
        shutdown(this->descriptor, SHUT_WR);
    }
    this->updateWatchedEvents();
    this->parse();
}

void BackendConnection::updateWatchedEvents()
{
    const bool waiting = this->outputOffset < this->output.size();
    this->loop.events().modify(this->descriptor, EPOLLIN | EPOLLRDHUP | (waiting ? EPOLLOUT : 0U));
}

void BackendConnection::closeConnection()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->loop.events().remove(this->descriptor);
    if (this->answering) {
        this->answering = false;
        this->onAnswered(*this, false);
    }
    this->onClosed(*this);
}

}
