#pragma once

#include "support/Error.h"

namespace chicoryferry {

// An error caused by input from a user or another system: settings, documents, addresses, unreachable peers.
class UserError : public Error {
public:
    using Error::Error;
};

}
