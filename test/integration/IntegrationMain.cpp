#define DOCTEST_CONFIG_IMPLEMENT
#include <csignal>
#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    // A connection that the other side has reset must fail the call that uses it, not the whole program.
    std::signal(SIGPIPE, SIG_IGN);
    doctest::Context context(argc, argv);
    return context.run();
}
