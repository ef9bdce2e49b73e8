#pragma once

#include <map>
#include <string>

namespace chicoryferry::integration {

// What a caller got for one request.
struct HttpAnswer {
    unsigned status { 0 }; // 0: no answer head arrived
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool complete { false }; // the end of the answer was seen
    bool keepAlive { false };
    std::string failure; // why the answer is not complete

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

}
