#pragma once

#include <map>
#include <string>

namespace chicoryferry::integration {

// The answer to one request as the caller received it.
struct HttpAnswer {
    unsigned status { 0 }; // 0: no complete header section arrived
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool complete { false }; // received to its end
    bool keepAlive { false };
    std::string failure; // why the answer is incomplete

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

}
