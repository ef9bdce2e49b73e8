#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

// Property tests use a fixed seed, so that each run gives the same result; RC_PARAMS="seed=N" sets another one.
int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=20261204", 0);
    return doctest::Context(argc, argv).run();
}
