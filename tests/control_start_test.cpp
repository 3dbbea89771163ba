#include "support/control_hosts.hpp"

using namespace savoryscale;
using namespace savoryscale::tests;

TEST_GROUP_BASE(control_start, control_hosts){};

TEST(control_start, a_host_that_starts_with_the_store_down_learns_from_its_peers)
{
    add();
    CHECK(becomes([&] { return all_hold(1); }));
    entry_host& late = add(true);
    CHECK(becomes([&] { return late.version_ == 1 && late.ready_; }));
}

TEST(control_start, a_host_without_any_source_is_not_ready)
{
    entry_host& alone = add(true);
    CHECK(becomes([&] { return alone.task_.counters().store_calls_ > 3; }));
    CHECK_FALSE(alone.ready_);
    alone.client_.down_ = false;
    CHECK(becomes([&] { return alone.ready_ && alone.version_ == 1; }));
}

TEST(control_start, a_host_cut_from_its_peers_watches_the_store_itself)
{
    add();
    CHECK(becomes([&] { return all_hold(1) && watchers() == 1; }));
    // Nothing answers at this seed.
    const settings::endpoint nobody{"127.0.0.1", 1};
    hosts_.push_back(std::make_unique<entry_host>(store_, host_settings("apart", {nobody})));
    CHECK(becomes([&] { return all_hold(1); }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
    write(3);
    CHECK(becomes([&] { return all_hold(3); }));
}

TEST(control_start, half_of_a_share_counts_at_once_and_the_rest_after_a_term)
{
    entry_host& host = add();
    CHECK(becomes([&] { return host.share("probes/photo") == 2; }));
    CHECK(becomes([&] { return host.share("probes/photo") == 100 / 24; }));
}
