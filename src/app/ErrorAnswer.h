#pragma once

#include "coordination/PlacementAction.h"
#include "protocol/HttpHead.h"

#include <string>

namespace chicoryferry {

// An error answer that the agent generates itself.
struct ErrorAnswer {
    HttpAnswerHead head;
    std::string body; // JSON
};

// Builds the answer that tells a caller why a request was refused and whether it may have been run.
ErrorAnswer makeErrorAnswer(const RefuseRequest&);

}
