#include "base/error.hpp"
#include "base/mailbox.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;

TEST_GROUP(base){};

TEST(base, error_names_place_fault_and_remedy)
{
    const error fault{error_kind::invalid, "/hosts/0", "bad IP", "write a.b.c.d"};
    CHECK_EQUAL(std::string{"/hosts/0: bad IP; write a.b.c.d"}, to_string(fault));
}

TEST(base, mailbox_keeps_order_and_wakes_once_a_post)
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
