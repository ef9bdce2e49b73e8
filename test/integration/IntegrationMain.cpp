#define DOCTEST_CONFIG_IMPLEMENT
#include <csignal>
#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    // A write to a connection that the peer has reset must fail with EPIPE instead of ending the program.
    std::signal(SIGPIPE, SIG_IGN);
    doctest::Context context(argc, argv);
    return context.run();
}
