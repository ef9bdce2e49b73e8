#pragma once

#include "protocol/Selector.h"

#include <string>

namespace chicoryferry {

// Selects the hosts that serve one service for one caller group. Source: configuration document.
struct Binding {
    std::string service;
    std::string callers;
    Selector selector;
};

}
