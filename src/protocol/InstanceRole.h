#pragma once

namespace chicoryferry {

// The role that an instance's process has.
enum class InstanceRole {
    Balancer,
    Agent,
};

}
