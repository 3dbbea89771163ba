#include "support/known_red.hpp"

#include <sstream>

namespace savoryscale::tests {

std::vector<test_name> read_known_red(std::istream& list, std::string_view program)
{
    std::vector<test_name> found;
    std::string line;
    while (std::getline(list, line)) {
        std::istringstream words{line};
        std::string key;
        std::string of_program;
        std::string name;
        words >> key >> of_program >> name;
        const std::size_t dot = name.find('.');
        if (key == "test:" && of_program == program && dot != std::string::npos) {
            found.push_back({name.substr(0, dot), name.substr(dot + 1)});
        }
    }
    return found;
}

} // namespace savoryscale::tests
