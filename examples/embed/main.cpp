// Embeds target selection in a program outside this project: reads the targets from settings and
// distributes a hundred attempts over them, with the program's own clock and random generator.
//
//     embed examples/calloway/settings.json

#include "routing/service_view.hpp"
#include "settings/parse.hpp"

#include <iostream>
#include <set>

namespace {

using namespace savoryscale;

// Chooses targets for `count` attempts that all stay in flight; returns the number of distinct
// targets.
std::size_t spread(routing::service_view& view, int count, random_source& random)
{
    std::set<routing::target_index> chosen;
    time_point now{std::chrono::hours{1}};
    for (int i = 0; i < count; ++i) {
        const auto target = routing::choose(view, {}, now, random);
        if (!target) {
            break;
        }
        routing::on_attempt_started(view, *target, now);
        chosen.insert(*target);
        now += std::chrono::microseconds{100};
    }
    return chosen.size();
}

} // namespace

int main(int argc, char** argv)
{
    const auto loaded = settings::load(argc > 1 ? argv[1] : "examples/calloway/settings.json");
    if (!loaded) {
        for (const error& failure : loaded.error()) {
            std::cerr << to_string(failure) << '\n';
        }
        return 2;
    }
    const settings::service& service = loaded->services_.front();
    auto view =
        routing::make_view(service, loaded->host_.data_centre_, routing::policy::least_requests);
    std::vector<routing::target_info> targets;
    for (const settings::static_target& each : service.targets_) {
        targets.push_back({each.address_, each.data_centre_});
    }
    routing::update_targets(view, targets, time_point{});

    random_source random{1};
    constexpr int attempts = 100;
    const std::size_t different = spread(view, attempts, random);
    std::cout << service.name_ << ": " << attempts << " attempts on " << different << " of "
              << targets.size() << " targets\n";
    return different == targets.size() ? 0 : 1;
}
