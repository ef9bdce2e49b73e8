#include "protocol/HttpRequestHeadReader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <strings.h>
#include <vector>

namespace chicoryferry {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned expectationFailed = 417;
constexpr unsigned headTooLarge = 431;
constexpr unsigned notImplemented = 501;
constexpr unsigned versionNotSupported = 505;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(character)) != 0
        || symbols.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool isValueCharacter(char character)
{
    const auto code = static_cast<unsigned char>(character);
    constexpr unsigned char deleteCode = 0x7F;
    return code == '\t' || (code >= ' ' && code != deleteCode);
}

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> elements;
    while (true) {
        const std::size_t comma = text.find(',');
        elements.push_back(trim(text.substr(0, comma)));
        if (comma == std::string_view::npos) {
            return elements;
        }
        text.remove_prefix(comma + 1);
    }
}

// Splits at CRLF and omits the final empty line. Returns nothing if a line is not terminated by CRLF, or on a line feed
// or carriage return that is not part of a CRLF.
std::optional<std::vector<std::string_view>> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find_first_of("\r\n");
        if (end == std::string_view::npos || text.substr(end, 2) != "\r\n") {
            return std::nullopt;
        }
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end + 2);
    }
    if (!lines.empty() && lines.back().empty()) {
        lines.pop_back();
    }
    return lines;
}

// Converts the absolute form "http://host/path" to "/path", because routes match paths (RFC 9112, section 3.2.2).
// Other valid targets are returned unchanged; returns nothing for an invalid one.
std::optional<std::string> originForm(std::string_view target, std::string_view method)
{
    constexpr std::string_view scheme = "http://";
    if (target.starts_with('/') || (target == "*" && method == "OPTIONS")) {
        return std::string(target);
    }
    if (target.size() < scheme.size() || !equalsIgnoringCase(target.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    target.remove_prefix(scheme.size());
    const std::size_t path = target.find_first_of("/?");
    if (path == std::string_view::npos) {
        return "/";
    }
    return (target[path] == '?' ? "/" : "") + std::string(target.substr(path));
}

std::optional<HttpFault> readRequestLine(std::string_view line, ParsedRequestHead& result)
{
    const std::size_t firstSpace = line.find(' ');
    const std::size_t lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || firstSpace == lastSpace) {
        return HttpFault { badRequest, "request_line" };
    }
    const std::string_view method = line.substr(0, firstSpace);
    const std::string_view target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    const std::string_view version = line.substr(lastSpace + 1);
    const bool visible = std::all_of(
        target.begin(), target.end(), [](char each) { return isValueCharacter(each) && each != ' ' && each != '\t'; });
    if (!isToken(method) || target.empty() || !visible) {
        return HttpFault { badRequest, "request_line" };
    }
    if (!version.starts_with("HTTP/")) {
        return HttpFault { badRequest, "request_line" };
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return HttpFault { versionNotSupported, "http_version" };
    }
    if (method == "CONNECT") {
        return HttpFault { notImplemented, "method_not_supported" };
    }
    const std::optional<std::string> origin = originForm(target, method);
    if (!origin) {
        return HttpFault { badRequest, "request_target" };
    }
    result.head.method = method;
    result.head.target = *origin;
    result.isVersion10 = version == "HTTP/1.0";
    return std::nullopt;
}

std::optional<HttpFault> readFields(const std::vector<std::string_view>& lines, HttpHeaders& fields)
{
    if (lines.size() > maximumHeaderFields + 1) {
        return HttpFault { headTooLarge, "header_fields" };
    }
    for (std::size_t index = 1; index < lines.size(); ++index) {
        const std::string_view line = lines[index];
        if (line.starts_with(' ') || line.starts_with('\t')) {
            return HttpFault { badRequest, "line_folding" };
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return HttpFault { badRequest, "field_name" };
        }
        const std::string_view value = trim(line.substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isValueCharacter)) {
            return HttpFault { badRequest, "field_value" };
        }
        fields.emplace_back(line.substr(0, colon), value);
    }
    return std::nullopt;
}

std::vector<std::string_view> valuesOf(const HttpHeaders& fields, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const auto& [fieldName, value] : fields) {
        if (equalsIgnoringCase(fieldName, name)) {
            values.emplace_back(value);
        }
    }
    return values;
}

std::optional<HttpFault> readFraming(const HttpHeaders& fields, ParsedRequestHead& result)
{
    const std::vector<std::string_view> lengths = valuesOf(fields, "Content-Length");
    const std::vector<std::string_view> encodings = valuesOf(fields, "Transfer-Encoding");
    if (!lengths.empty() && !encodings.empty()) {
        return HttpFault { badRequest, "length_and_encoding" };
    }
    if (lengths.size() > 1) {
        return HttpFault { badRequest, "content_length" };
    }
    if (encodings.size() > 1 || (!encodings.empty() && result.isVersion10)) {
        return HttpFault { badRequest, "transfer_encoding" };
    }
    if (!encodings.empty()) {
        if (!equalsIgnoringCase(encodings.front(), "chunked")) {
            return HttpFault { notImplemented, "transfer_encoding" };
        }
        result.head.framing = BodyFraming::Chunked;
    }
    if (!lengths.empty()) {
        const std::string_view text = lengths.front();
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), result.head.contentLength);
        if (error != std::errc() || end != text.data() + text.size()) {
            return HttpFault { badRequest, "content_length" };
        }
        result.head.framing = result.head.contentLength > 0 ? BodyFraming::ContentLength : BodyFraming::None;
    }
    return std::nullopt;
}

// Sets result.keepAlive and returns the options listed in Connection, which include the names of hop-by-hop fields.
std::vector<std::string_view> readConnection(const HttpHeaders& fields, ParsedRequestHead& result)
{
    std::vector<std::string_view> names;
    result.keepAlive = !result.isVersion10;
    for (const std::string_view value : valuesOf(fields, "Connection")) {
        for (const std::string_view option : splitList(value)) {
            names.push_back(option);
            if (equalsIgnoringCase(option, "keep-alive")) {
                result.keepAlive = true;
            }
        }
    }
    const bool close = std::any_of(
        names.begin(), names.end(), [](std::string_view name) { return equalsIgnoringCase(name, "close"); });
    result.keepAlive = result.keepAlive && !close;
    return names;
}

std::optional<HttpFault> readExpectation(const HttpHeaders& fields, ParsedRequestHead& result)
{
    for (const std::string_view value : valuesOf(fields, "Expect")) {
        if (!equalsIgnoringCase(value, "100-continue")) {
            return HttpFault { expectationFailed, "expectation" };
        }
        result.expectsContinue = !result.isVersion10;
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name, const std::vector<std::string_view>& connectionNames)
{
    constexpr std::array<std::string_view, 9> names { "Connection", "Transfer-Encoding", "Content-Length", "Keep-Alive",
        "Proxy-Connection", "TE", "Trailer", "Upgrade", "Expect" };
    const auto matches = [&](std::string_view each) { return equalsIgnoringCase(name, each); };
    return std::any_of(names.begin(), names.end(), matches)
        || std::any_of(connectionNames.begin(), connectionNames.end(), matches);
}

}

std::variant<ParsedRequestHead, HttpFault> readHttpRequestHead(std::string_view text)
{
    const auto lines = splitLines(text);
    if (!lines) {
        return HttpFault { badRequest, "bare_line_feed" };
    }
    if (lines->empty()) {
        return HttpFault { badRequest, "request_line" };
    }
    ParsedRequestHead result;
    HttpHeaders fields;
    if (const auto fault = readRequestLine(lines->front(), result)) {
        return *fault;
    }
    if (const auto fault = readFields(*lines, fields)) {
        return *fault;
    }
    const std::size_t hosts = valuesOf(fields, "Host").size();
    if (hosts > 1 || (hosts == 0 && !result.isVersion10)) {
        return HttpFault { badRequest, "host_field" };
    }
    if (const auto fault = readFraming(fields, result)) {
        return *fault;
    }
    if (const auto fault = readExpectation(fields, result)) {
        return *fault;
    }
    const std::vector<std::string_view> connectionNames = readConnection(fields, result);
    for (const auto& [name, value] : fields) {
        if (!isHopByHop(name, connectionNames)) {
            result.head.headers.emplace_back(name, value);
        }
    }
    return result;
}

}
