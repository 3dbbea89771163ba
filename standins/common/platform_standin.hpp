#pragma once

// A stand-in for the platform: the object API and the host list on one port, and on another the
// control requests that switch faults and return counters.
//
//   POST /control  {"object_api": faults, "down": true, "hosts": [...], "host_lag_ms": 500,
//                   "hosts_refuse": true}; each field is optional
//   GET  /control  counters of calls

#include "base/clock.hpp"
#include "common/json_server.hpp"
#include "common/object_store.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>

namespace savoryscale::standins {

class platform_standin {
public:
    // Listens at once. Throws boost::system::system_error if a port is taken.
    platform_standin(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                     const boost::asio::ip::tcp::endpoint& control, std::uint64_t seed);

    std::uint16_t port() const { return server_.address().port(); }
    std::uint16_t control_port() const { return control_.address().port(); }

    // Handles a control request.
    control_reply control(const control_request& request);

private:
    // A host list and the time at which it was set.
    struct host_list_snapshot {
        time_point set_{};
        nlohmann::json hosts_ = nlohmann::json::array();
    };

    void answer(const control_request& request, const json_server::responder& respond);
    control_reply host_list();
    std::string change(const nlohmann::json& changes);

    object_store store_;
    std::deque<host_list_snapshot> hosts_{host_list_snapshot{}};
    duration host_lag_{};
    bool hosts_refuse_ = false;
    std::uint64_t host_reads_ = 0;
    json_server server_;
    json_server control_;
};

} // namespace savoryscale::standins
