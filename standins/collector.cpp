// A stand-in for a trace collector: receives OTLP/JSON at /v1/traces, returns counts at /counts.

#include "common/span_store.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 25018, "port to listen on");

int main(int argc, char** argv)
{
    using namespace savoryscale;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io{1};
    standins::span_store store;
    const standins::json_server server{
        io,
        {boost::asio::ip::make_address(FLAGS_ip), static_cast<std::uint16_t>(FLAGS_port)},
        [&store](const standins::control_request& request) { return store.handle(request); }};
    boost::asio::signal_set stop{io, SIGINT, SIGTERM};
    stop.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    fmt::print("collector on {}:{}\n", FLAGS_ip, server.address().port());
    std::fflush(stdout);
    io.run();
    return 0;
}
