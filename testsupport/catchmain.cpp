// The entry point of every package's tests. Prints RC_PARAMS, which contains the seed of the property tests.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    const char *parameters = std::getenv("RC_PARAMS");
    std::cout << "RC_PARAMS=" << (parameters == nullptr ? "(random)" : parameters) << std::endl;
    return Catch::Session().run(argc, argv);
}
