#pragma once

#include "protocol/Selector.h"

#include <string>

namespace chicoryferry {

// Selects the hosts that serve the requests of one caller group to one service. Source: configuration document.
struct Binding {
    std::string service;
    std::string callerGroup;
    Selector selector;
};

}
