#include "coordination/RetryBudget.h"

#include <algorithm>

namespace chicoryferry {

void RetryBudget::requestArrived() { this->saved = std::min(this->reserve, this->saved + this->share); }

bool RetryBudget::takeRetry()
{
    if (this->saved < 1) {
        return false;
    }
    this->saved -= 1;
    return true;
}

}
