#include "http/limit_grants.hpp"

#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "peer/grant_wire.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace savoryscale::http {

namespace {

// Each granter may save a request for each target, so their number counts towards a small limit.
constexpr std::size_t granters_max = 3;

constexpr std::size_t connections_max = 16; // to each granter

// Longer than any request to a granter takes.
constexpr duration retirement = std::chrono::seconds{1};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

} // namespace

limit_grants::limit_grants(event_loop& loop, random_source& random) : loop_{loop}, random_{random}
{
    granter_.started_ = loop.now();
}

limit_grants::~limit_grants() = default;

void limit_grants::set_granters(std::span<const settings::endpoint> hosts,
                                const settings::endpoint& own)
{
    std::vector<settings::endpoint> chosen{hosts.begin(), hosts.end()};
    std::sort(chosen.begin(), chosen.end(),
              [](const auto& one, const auto& other) { return to_string(one) < to_string(other); });
    chosen.resize(std::min(chosen.size(), granters_max));
    retire_granters();
    parts_ = chosen.size();
    granter_.granters_ = 0;
    for (const settings::endpoint& host : chosen) {
        if (host == own) {
            granter_.granters_ = chosen.size();
            granters_.push_back({host, nullptr});
        }
        else {
            granters_.push_back(
                {host, std::make_unique<connection_pool>(loop_, host, false, connections_max)});
        }
    }
    book_.granters_.assign(granters_.size(), {});
}

void limit_grants::set_alone(std::uint32_t hosts_max)
{
    retire_granters();
    granters_.push_back({});
    parts_ = hosts_max;
    granter_.granters_ = hosts_max;
    book_.granters_.assign(1, {});
}

void limit_grants::retire_granters()
{
    ++epoch_;
    if (!granters_.empty()) {
        retired_.push_back(std::exchange(granters_, {}));
        loop_.after(retirement, [this] { retired_.pop_front(); });
    }
}

page limit_grants::answer(std::string_view path)
{
    const auto request = peer::read_grant_path(path);
    if (!request) {
        return {status_bad_request, "text/plain", to_string(request.error()) + "\n"};
    }
    return {status_ok, "text/plain",
            peer::write_grant_answer(routing::grant(granter_, *request, loop_.now()))};
}

bool limit_grants::may_be_granted(std::string_view target) const
{
    return routing::may_be_granted(book_, target, loop_.now());
}

duration limit_grants::retry_after(std::span<const routing::grant_wish> wishes)
{
    return routing::retry_after_denial(book_, wishes, loop_.now(), random_);
}

} // namespace savoryscale::http
