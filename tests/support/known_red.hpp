#pragma once

// Tests of one program that are known to fail, by the list in KNOWN-RED.txt.

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::tests {

struct test_name {
    std::string group_;
    std::string name_;
};

// The list has a line "test: PROGRAM GROUP.NAME" for each such test.
std::vector<test_name> read_known_red(std::istream& list, std::string_view program);

} // namespace savoryscale::tests
