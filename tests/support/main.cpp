// Entry point of every test program.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // Property tests generate the same cases in each run, unless RC_PARAMS is already set.
    setenv("RC_PARAMS", "seed=1", 0);
    // Library singletons (protobuf, Boost.Log) allocate once on first use, which the leak detector
    // would report as a leak of a test.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
