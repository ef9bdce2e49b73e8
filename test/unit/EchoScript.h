#pragma once

#include "ScriptedBackend.h"

#include <cstddef>
#include <map>
#include <string>

namespace chicoryferry {

// What a backend server that echoes has run: the number of runs for each target.
using RunCounts = std::map<std::string, int>;

// The answer that echoScript() gives: the target and the request body, repeated up to the number of bytes that the
// target names after its last '/', for example "/drawing/3/100000".
std::string echoAnswer(const std::string& target, const std::string& requestBody);

// A script that answers each whole request once with echoAnswer() and counts it. chunked: answer without a length.
ScriptedBackend::Script echoScript(RunCounts&, bool chunked);

// A script that never answers.
inline ScriptedBackend::Script silentScript()
{
    return [](ScriptedBackend::Connection&) {};
}

}
