#include "FuzzTarget.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <vector>

// Runs a fuzz target on each file of the given directories, without a fuzzing engine.
int main(int argc, char** argv)
{
    int inputs = 0;
    for (int index = 1; index < argc; ++index) {
        for (const auto& entry : std::filesystem::directory_iterator(argv[index])) {
            std::ifstream file(entry.path(), std::ios::binary);
            const std::vector<char> bytes { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
            ++inputs;
        }
    }
    fmt::print("{} inputs\n", inputs);
    return inputs > 0 ? 0 : 1;
}
