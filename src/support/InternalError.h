#pragma once

#include "support/Error.h"

namespace chicoryferry {

// A violated invariant of this program, that is, a bug.
class InternalError : public Error {
public:
    using Error::Error;
};

// Throws InternalError with the step and message when the condition does not hold.
inline void internalAssert(bool condition, const char* step, const char* message)
{
    if (!condition) {
        throw InternalError(step, "", message);
    }
}

}
