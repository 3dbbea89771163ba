// The relay of the tests, over real sockets.

#include "support/loopback.hpp"
#include "support/relay.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <cerrno>
#include <chrono>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace savoryscale::testing;
using namespace std::chrono_literals;
using savoryscale::tests::path_cut;
using savoryscale::tests::relay;

namespace {

// Returns 0, or the error with which a new socket fails at `action`: bind or connect.
template<typename Action>
int error_of(Action action, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    const bool done =
        action(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    const int error = done ? 0 : errno;
    close(descriptor);
    return error;
}

} // namespace

TEST_GROUP(relay)
{
    scripted_store store;
    relay path{store.port()};
};

// Otherwise a server of a test that runs beside it may get the port, and the connections.
TEST(relay, the_port_of_a_path_that_refuses_stays_its_own)
{
    for (const path_cut cut : {path_cut::reset, path_cut::refuse_new}) {
        std::this_thread::sleep_for(30ms); // the relay waits for connections meanwhile
        path.set_cut(cut);
        LONGS_EQUAL(ECONNREFUSED, error_of(connect, path.port()));
        LONGS_EQUAL(EADDRINUSE, error_of(bind, path.port()));
        path.set_cut(path_cut::none);
        LONGS_EQUAL(0, error_of(connect, path.port()));
    }
}
