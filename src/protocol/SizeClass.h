#pragma once

namespace chicoryferry {

// How long requests of a route are expected to run. Learned: derived from measured run times.
enum class SizeClass {
    Learned,
    Short,
    Long,
};

}
