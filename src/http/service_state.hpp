#pragma once

// State that the HTTP task keeps for one service and its targets.

#include "admission/quarantine.hpp"
#include "admission/room.hpp"
#include "http/connection_pool.hpp"
#include "routing/placement.hpp"
#include "routing/reachability.hpp"
#include "routing/search_progress.hpp"
#include "routing/service_view.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryscale::http {

// Connections to one target, and the requests whose connections to it have just broken.
struct target_connections {
    std::unique_ptr<connection_pool> pool_;
    std::string name_;        // address and incarnation
    std::string shared_name_; // the same on all hosts
    bool leaving_ = false;    // it has announced that it leaves
    std::vector<admission::request_fingerprints> broken_requests_; // until the crash check ends
    time_point broken_at_{};                                       // the first of them
    bool check_in_progress_ = false;
    bool witnesses_asked_ = false;
};

struct service_state {
    settings::service config_;
    routing::service_view view_;
    routing::placement_budget placement_budget_;
    routing::probe_times probe_times_;
    routing::reachability reach_;
    admission::room room_;
    std::map<std::string, admission::stated_limits, std::less<>> stated_limits_; // by route
    std::map<routing::target_index, target_connections> targets_;
    std::vector<routing::target_info> listed_;
    std::size_t target_count_ = 0;   // without those that are leaving
    std::size_t connection_cap_ = 1; // connections of this host to each target
    double probes_share_ = 0;        // probes of this host, per second
    double probe_bytes_share_ = 0;   // bytes of probes of this host, per second
};

} // namespace savoryscale::http
