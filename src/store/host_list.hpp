#pragma once

// The platform's list of live and leaving hosts, and the interface of clients that read it. The
// list lags behind the actual state of the hosts.

#include "settings/settings.hpp"
#include "store/object_api.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryscale::store {

enum class host_kind : std::uint8_t {
    entry,  // a host of this system; its address is the one for the exchange between peers
    target, // a target of an upstream
};

// One entry of the host list.
struct listed_host {
    std::string id_;
    host_kind kind_ = host_kind::entry;
    std::string service_; // targets only
    std::string data_centre_;
    settings::endpoint address_;
    std::uint64_t incarnation_ = 0; // grows when the host restarts at the same address
    bool leaving_ = false;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

// status_ is ok, or says why there is no list.
struct host_list_reply {
    call_status status_ = call_status::unknown;
    std::vector<listed_host> hosts_;
    std::size_t unreadable_ = 0; // hosts that are malformed and not in hosts_
};

class host_list_client {
public:
    host_list_client() = default;
    host_list_client(const host_list_client&) = delete;
    host_list_client& operator=(const host_list_client&) = delete;
    host_list_client(host_list_client&&) = delete;
    host_list_client& operator=(host_list_client&&) = delete;
    virtual ~host_list_client() = default;

    // Reads the complete list. `done` is run exactly once, on the client's thread or inside fetch.
    virtual void fetch(duration timeout, std::function<void(host_list_reply)> done) = 0;
};

} // namespace savoryscale::store
