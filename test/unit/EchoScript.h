#pragma once

#include "ScriptedBackend.h"

#include <cstddef>
#include <map>
#include <string>

namespace chicoryferry {

// The number of times that echoing backend servers have run each target.
using RunCounts = std::map<std::string, int>;

// The answer body of echoScript(): the target and the request body, repeated up to the size in bytes that follows the
// last '/' of the target, for example "/drawing/3/100000".
std::string echoAnswer(const std::string& target, const std::string& requestBody);

// A script that answers each complete request once with echoAnswer() and counts it. If chunked, the answer uses chunked
// transfer encoding instead of Content-Length.
ScriptedBackend::Script echoScript(RunCounts&, bool chunked);

// A script that never answers.
inline ScriptedBackend::Script silentScript()
{
    return [](ScriptedBackend::Connection&) {};
}

}
