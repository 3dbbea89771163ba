// A stand-in for upstream servers: a number of targets in one process, on consecutive ports.

#include "common/upstream_farm.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(first_port, 24100, "port of the first target; the others use the following ports");
DEFINE_int32(control_port, 24099, "port for control requests");
DEFINE_uint64(targets, 20, "number of targets");
DEFINE_int32(slots, 2, "requests that a target runs concurrently");
DEFINE_double(service_us, 1000, "mean service time in microseconds");
DEFINE_string(behaviour, "{}", "JSON object with other fields of standins/common/behaviour.hpp");
DEFINE_uint64(seed, 1, "seed of every random draw");

namespace {

using boost::asio::ip::tcp;
using namespace savoryscale;

tcp::endpoint endpoint_at(int port)
{
    return {boost::asio::ip::make_address(FLAGS_ip), static_cast<std::uint16_t>(port)};
}

int run()
{
    standins::behaviour traits;
    traits.slots_ = static_cast<std::uint32_t>(FLAGS_slots);
    traits.service_us_ = FLAGS_service_us;
    const auto changes = nlohmann::json::parse(FLAGS_behaviour, nullptr, false);
    const auto changed = standins::with_changes(traits, changes);
    if (!changed) {
        fmt::print(stderr, "{}\n", to_string(changed.error()));
        return 2;
    }
    boost::asio::io_context io{1};
    standins::upstream_farm farm{io, endpoint_at(FLAGS_first_port), FLAGS_targets, *changed,
                                 FLAGS_seed};
    farm.start();
    const standins::json_server control{
        io, endpoint_at(FLAGS_control_port),
        [&farm](const standins::control_request& request) { return farm.control(request); }};
    boost::asio::signal_set stop{io, SIGINT, SIGTERM};
    stop.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    fmt::print("{} targets from port {}, control on {}\n", FLAGS_targets, FLAGS_first_port,
               FLAGS_control_port);
    std::fflush(stdout);
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in upstream servers, controlled over HTTP");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    }
    catch (const std::exception& failure) {
        fmt::print(stderr, "{}; choose free ports\n", failure.what());
        return 1;
    }
}
