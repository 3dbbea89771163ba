// A stand-in for the platform's object API and host list, with injected faults.

#include "common/platform_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 21000, "port of the object API and the host list");
DEFINE_int32(control_port, 21001, "port for control requests");
DEFINE_uint64(seed, 1, "random seed for the faults");

namespace {

using namespace savoryscale;

boost::asio::ip::tcp::endpoint endpoint_at(int port)
{
    return {boost::asio::ip::make_address(FLAGS_ip), static_cast<std::uint16_t>(port)};
}

int run()
{
    boost::asio::io_context io{1};
    const standins::platform_standin platform{io, endpoint_at(FLAGS_port),
                                              endpoint_at(FLAGS_control_port), FLAGS_seed};
    boost::asio::signal_set stop{io, SIGINT, SIGTERM};
    stop.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    fmt::print("object API and host list on {}, control on {}\n", platform.port(),
               platform.control_port());
    std::fflush(stdout);
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in object API and host list, controlled over HTTP");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    }
    catch (const std::exception& failure) {
        fmt::print(stderr, "{}; choose free ports\n", failure.what());
        return 1;
    }
}
