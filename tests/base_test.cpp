#include "base/error.hpp"
#include "base/mailbox.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;

TEST_GROUP(base){};

TEST(base, error_text_has_place_description_and_remedy)
{
    const error failure{error_kind::invalid, "/hosts/0", "bad IP", "write a.b.c.d"};
    CHECK_EQUAL(std::string{"/hosts/0: bad IP; write a.b.c.d"}, to_string(failure));
}

TEST(base, mailbox_keeps_order_and_wakes_once_per_post)
{
    int wakes = 0;
    mailbox<int> box{[&] { ++wakes; }};
    box.post(1);
    box.post(2);
    const auto messages = box.take();
    LONGS_EQUAL(2, wakes);
    LONGS_EQUAL(2, messages.size());
    LONGS_EQUAL(1, messages.front());
    CHECK(box.take().empty());
}
