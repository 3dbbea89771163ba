#pragma once

// A number of stand-in targets in one process, and their control requests.

#include "base/error.hpp"
#include "common/behaviour.hpp"
#include "common/counters.hpp"
#include "common/json_server.hpp"
#include "common/target.hpp"

#include <memory>
#include <string_view>
#include <vector>

namespace savoryscale::standins {

class upstream_farm {
public:
    // Targets listen on consecutive ports, starting at `first` (port 0: any free ports); each has
    // its own random seed.
    upstream_farm(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& first,
                  std::size_t count, const behaviour& traits, std::uint64_t seed);

    void start();

    // Handles a request to the control port:
    //   GET  /control/counters[?commits=0]       all counters; 0: without commits
    //   POST /control/behaviour[?targets=0,3]    JSON object of fields to change
    //   POST /control/ACTION[?targets=0,3]       drain, restore, crash, silence or reset (counters)
    control_reply control(const control_request& request);

    target& at(std::size_t index) { return *targets_.at(index); }

private:
    control_reply counters(bool with_commits) const;
    control_reply change_behaviour(const std::vector<target*>& chosen, std::string_view text);
    bool apply_action(const std::vector<target*>& chosen, std::string_view action);
    result<std::vector<target*>> select_targets(std::string_view list);

    shared_counters shared_;
    std::vector<std::unique_ptr<target>> targets_;
};

} // namespace savoryscale::standins
