#include "EchoScript.h"

#include <fmt/format.h>

namespace chicoryferry {

namespace {

std::string targetOf(const std::string& request)
{
    const std::size_t start = request.find(' ') + 1;
    return request.substr(start, request.find(' ', start) - start);
}

std::size_t contentLengthOf(const std::string& request)
{
    const std::string name = "Content-Length: ";
    const std::size_t at = request.find(name);
    return at == std::string::npos ? 0 : std::stoul(request.substr(at + name.size()));
}

}

std::string echoAnswer(const std::string& target, const std::string& requestBody)
{
    const std::string unit = target + ":" + requestBody + ";";
    const std::size_t size = std::stoul(target.substr(target.rfind('/') + 1));
    std::string answer;
    while (answer.size() < size) {
        answer += unit;
    }
    answer.resize(size);
    return answer;
}

ScriptedBackend::Script echoScript(RunCounts& runs, bool chunked)
{
    return [&runs, chunked](ScriptedBackend::Connection& connection) {
        const std::size_t headEnd = connection.received.find("\r\n\r\n");
        if (headEnd == std::string::npos || connection.clientClosed) {
            return;
        }
        const std::string body = connection.received.substr(headEnd + 4);
        if (body.size() < contentLengthOf(connection.received)) {
            return;
        }
        const std::string target = targetOf(connection.received);
        const std::string answer = echoAnswer(target, body);
        ++runs[target];
        if (chunked && !answer.empty()) {
            connection.send(fmt::format(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", answer.size(), answer));
        } else {
            connection.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", answer.size(), answer));
        }
        connection.close();
    };
}

}
