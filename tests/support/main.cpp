// Entry point of every test program. Without arguments it passes over the tests that KNOWN-RED.txt
// lists, and prints them; scripts/test runs those by name.

#include "support/known_red.hpp"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

// Removes the listed tests from the registry.
void pass_over_known_red(const std::string& program)
{
    std::ifstream list{"KNOWN-RED.txt"};
    TestRegistry& registry = *TestRegistry::getCurrentRegistry();
    for (const auto& red : savoryscale::tests::read_known_red(list, program)) {
        for (UtestShell* test = registry.getFirstTest(); test != nullptr; test = test->getNext()) {
            if (test->getGroup() != red.group_.c_str() || test->getName() != red.name_.c_str()) {
                continue;
            }
            std::cout << "known red, passed over: " << red.group_ << '.' << red.name_ << '\n';
            UtestShell* before = registry.getTestWithNext(test);
            if (before == nullptr) {
                registry.unDoLastAddTest();
            }
            else {
                before->addTest(test->getNext());
            }
            break;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    // Property tests generate the same cases in each run, unless RC_PARAMS is already set.
    setenv("RC_PARAMS", "seed=1", 0);
    // Library singletons (protobuf, Boost.Log) allocate once on first use, which the leak detector
    // would report as a leak of a test.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    if (argc == 1) {
        pass_over_known_red(std::filesystem::path{argv[0]}.filename().string());
        if (TestRegistry::getCurrentRegistry()->countTests() == 0) {
            return 0;
        }
    }
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
