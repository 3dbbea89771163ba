// Runs a fuzz target over every file of the folders given as arguments. Fails if a folder is
// missing or contains no file, so that a lost corpus is noticed. scripts/fuzz builds without it,
// since libFuzzer has its own main().

#ifndef SAVORYSCALE_LIBFUZZER

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <span>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

void replay(const std::filesystem::path& file)
{
    std::ifstream stream{file, std::ios::binary};
    const std::string bytes{std::istreambuf_iterator<char>{stream}, {}};
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

// Replays every file below the folder; returns the number of files, 0 if the folder is missing.
std::size_t replay_folder(const std::filesystem::path& folder)
{
    if (!std::filesystem::is_directory(folder)) {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator{folder}) {
        if (entry.is_regular_file()) {
            replay(entry.path());
            ++count;
        }
    }
    return count;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        std::fprintf(stderr, "no folder given; give the corpus folder as an argument\n");
        return 1;
    }
    for (const char* folder : std::span{argv, static_cast<std::size_t>(argc)}.subspan(1)) {
        const std::size_t count = replay_folder(folder);
        if (count == 0) {
            std::fprintf(stderr, "%s: missing or empty; add inputs to it\n", folder);
            return 1;
        }
        std::printf("%s: %zu inputs replayed\n", folder, count);
    }
    return 0;
}

#endif
