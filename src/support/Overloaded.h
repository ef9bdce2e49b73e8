#pragma once

namespace chicoryferry {

// A visitor for std::visit made of lambdas.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

}
