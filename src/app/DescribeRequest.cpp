#include "app/DescribeRequest.h"

#include "protocol/HopByHopHeaders.h"
#include "state/ConfigurationView.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace chicoryferry {

namespace {

constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";

std::optional<std::string> findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const auto& header) { return equalsIgnoringCase(header.first, name); });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

}

RouteFault describeRequest(const ConfigurationView* view, const std::string& serviceName, const Endpoint& caller,
    const HttpRequestHead& head, RequestDescription& description)
{
    description.service = serviceName;
    description.caller = caller;
    description.method = head.method;
    description.target = head.target;
    description.idempotencyKey = findHeader(head.headers, idempotencyKeyHeader);
    if (view == nullptr) {
        return { 503, "no_configuration" };
    }
    const Service* service = view->serviceByName(serviceName);
    if (service == nullptr) {
        return { 503, "no_service" };
    }
    const CallerGroup* group = view->callerGroupOf(caller.address);
    if (group == nullptr) {
        return { 403, "no_group" };
    }
    description.callerGroup = group->name;
    description.route = service->routeFor(head.method, head.target);
    return { 0, "" };
}

std::uint64_t requestFingerprint(const HttpRequestHead& head, std::uint64_t bodyBytes)
{
    const std::string text = fmt::format("{}\n{}\n{}", head.method, head.target, bodyBytes);
    return XXH3_64bits(text.data(), text.size());
}

}
