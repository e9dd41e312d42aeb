// rattanbeamctl: the operators' client.

#include "rattanbeam/operatorclient/commandline.h"

#include <iostream>

int main(int argc, const char **argv)
{
    using namespace rattanbeam::operatorclient;
    const auto line = parseCommandLine(argc, argv);
    if (!line) {
        return static_cast<int>(ExitCode::Usage);
    }
    if (line->showVersion) {
        std::cout << "rattanbeamctl " << RATTANBEAM_VERSION << '\n';
        return 0;
    }
    return static_cast<int>(runCommand(*line));
}
