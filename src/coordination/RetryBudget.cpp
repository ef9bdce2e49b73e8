#include "coordination/RetryBudget.h"

#include <algorithm>

namespace chicoryferry {

void RetryBudget::requestArrived() { this->tokens = std::min(this->capacity, this->tokens + this->tokensPerRequest); }

bool RetryBudget::takeRetry()
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

}
