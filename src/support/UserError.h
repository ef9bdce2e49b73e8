#pragma once

#include "support/Error.h"

namespace chicoryferry {

// A fault in what a user or another system supplied: settings, documents, addresses, unreachable peers.
class UserError : public Error {
public:
    using Error::Error;
};

}
