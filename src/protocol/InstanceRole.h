#pragma once

namespace chicoryferry {

enum class InstanceRole {
    Balancer,
    Agent,
};

}
