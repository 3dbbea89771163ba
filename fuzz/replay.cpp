// Runs a fuzz target over the files of a folder, or over single files, given as arguments.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

void replay(const std::filesystem::path& file)
{
    std::ifstream stream{file, std::ios::binary};
    const std::string bytes{std::istreambuf_iterator<char>{stream}, {}};
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

} // namespace

int main(int argc, char** argv)
{
    std::size_t count = 0;
    for (const std::string& argument : std::vector<std::string>(argv + 1, argv + argc)) {
        if (!std::filesystem::is_directory(argument)) {
            replay(argument);
            ++count;
            continue;
        }
        for (const auto& entry : std::filesystem::recursive_directory_iterator{argument}) {
            if (entry.is_regular_file()) {
                replay(entry.path());
                ++count;
            }
        }
    }
    std::printf("%zu inputs replayed\n", count);
    return count == 0 ? 1 : 0;
}
