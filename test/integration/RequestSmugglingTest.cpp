// Guarantees P2 (service isolation) and P10 (invalid input is refused) of docs/promises.md: a request with ambiguous
// message framing is refused before placement. Guards against request smuggling: bytes that the agent parses as a body
// and the backend server as another request, or the reverse.

#include "Cluster.h"
#include "HttpConnection.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace chicoryferry::integration;
using chicoryferry::Endpoint;

namespace {

struct AmbiguousRequest {
    std::string name;
    std::string bytes;
    unsigned status { 400 };
};

const std::string smuggled = "GET /layout/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

const std::vector<AmbiguousRequest> ambiguousRequests {
    { "two lengths",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 43\r\n\r\n" + smuggled },
    { "length and chunked coding",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nContent-Length: 43\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + smuggled },
    { "space before the colon",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 43\r\n\r\n" + smuggled },
    { "space before the colon, without a length",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled },
    { "bare line feed after a field", "GET /layout/x HTTP/1.1\nHost: a\r\nX: y\r\n\r\n" + smuggled },
    { "bare line feeds at the end of the head", "GET /layout/x HTTP/1.1\r\nHost: a\n\n" + smuggled },
    { "unknown last coding",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + smuggled,
        501 }, // RFC 9112, section 6.1: unknown transfer coding
    { "sign in the length", "POST /layout/x HTTP/1.1\r\nHost: a\r\nContent-Length: +43\r\n\r\n" + smuggled },
    { "folded field",
        "POST /layout/x HTTP/1.1\r\nHost: a\r\nX: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 43\r\n\r\n"
            + smuggled },
};

}

TEST_CASE("requests with ambiguous framing are refused and not run [P2 P10, request smuggling]")
{
    Cluster cluster(ClusterPlan::small(901));
    const Endpoint entry = cluster.entry("10.9.1.1", "job");
    for (const AmbiguousRequest& request : ambiguousRequests) {
        CAPTURE(request.name);
        HttpConnection connection(entry);
        connection.send(request.bytes);
        const HttpAnswer answer = connection.readAnswer("GET", std::chrono::seconds(10));
        CHECK(answer.status == request.status);
        CHECK(answer.header("chicoryferry-outcome") == "not-run");
        // The bytes that follow on the connection are not parsed as a request.
        CHECK(connection.readAnswer("GET", std::chrono::milliseconds(500)).status == 0);
    }
    CHECK(cluster.runs().empty());
    HttpConnection validConnection(entry);
    CHECK(validConnection.request("GET", "/layout/1", {}, "", std::chrono::seconds(10)).status == 200);
}
