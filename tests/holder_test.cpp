// Callers that hold connections or memory without progress: which of them give way to others.

#include "admission/body_memory.hpp"
#include "admission/holder.hpp"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace savoryscale::admission;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};
constexpr std::size_t max = std::size_t{1} << 20U;

holder made(std::size_t index, holder_phase phase, duration without_progress, std::size_t bytes = 0)
{
    return {index, phase, bytes, now - without_progress};
}

body_memory held(std::size_t bytes)
{
    body_memory memory;
    memory.max_ = max;
    memory.held_ = bytes;
    return memory;
}

} // namespace

TEST_GROUP(holder){};

// Load: silent connections and stalled bodies fill the host beside callers that keep theirs open.
TEST(holder, stalled_connections_go_before_kept_ones_and_working_ones_never)
{
    const std::vector<holder> all{
        made(0, holder_phase::working, 9s),        made(1, holder_phase::idle, 9s),
        made(2, holder_phase::unused, 3s),         made(3, holder_phase::reading_body, 4s),
        made(4, holder_phase::reading_head, 10ms), made(5, holder_phase::unread, 5s),
        made(6, holder_phase::unused, 10ms),       made(7, holder_phase::sending_body, 10ms)};
    CHECK((choose_for_connections(all, 2, now) == std::vector<std::size_t>{5, 3}));
    CHECK((choose_for_connections(all, 99, now) == std::vector<std::size_t>{5, 3, 2, 1, 6}));
}

// Load: bodies that stop short of their end use the memory; some callers are slow but go on.
TEST(holder, the_largest_stalled_holders_go_until_memory_is_free)
{
    const std::vector<holder> all{made(0, holder_phase::reading_body, 2s, 40'000),
                                  made(1, holder_phase::reading_body, 10ms, 400'000),
                                  made(2, holder_phase::unread, 2s, 60'000),
                                  made(3, holder_phase::idle, 2s, 300'000),
                                  made(4, holder_phase::unused, 2s, 4'000)};
    CHECK(choose_for_memory(all, held(max / 4 * 3 - 1), now).empty());
    CHECK((choose_for_memory(all, held(max / 4 * 3), now) == std::vector<std::size_t>{2}));
    CHECK((choose_for_memory(all, held(max / 4 * 3 + 60'000), now) ==
           std::vector<std::size_t>{2, 0}));
}

// Load: bodies that make progress use all memory at once.
TEST(holder, when_all_memory_is_used_those_that_make_progress_go_too)
{
    const std::vector<holder> all{made(0, holder_phase::reading_body, 10ms, 40'000),
                                  made(1, holder_phase::sending_body, 10ms, 400'000),
                                  made(2, holder_phase::working, 10ms, 600'000)};
    CHECK(choose_for_memory(all, held(max - 1), now).empty());
    CHECK((choose_for_memory(all, held(max), now) == std::vector<std::size_t>{1}));
}

TEST(holder, short_requests_begin_when_memory_is_short_and_large_heads_and_bodies_do_not)
{
    CHECK(accepts_head(held(max / 2), 200'000));
    CHECK(!accepts_head(held(max / 4 * 3), 200'000));
    CHECK(accepts_head(held(max * 2), 2'000));
    CHECK(!accepts_body(held(max / 4 * 3)));
    CHECK(!gives_way(held(max - 1), 200'000));
    CHECK(gives_way(held(max), 200'000));
    CHECK(!gives_way(held(max), 2'000));
}
