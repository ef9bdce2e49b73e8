#pragma once

namespace chicoryferry {

// Combines lambdas into one visitor for std::visit.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

}
