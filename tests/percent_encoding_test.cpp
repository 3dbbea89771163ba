// Text in URLs: every byte survives, and none but unreserved ones is sent as it is.

#include "base/percent_encoding.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cctype>
#include <string>

using namespace savoryscale;

TEST_GROUP(percent_encoding){};

TEST(percent_encoding, every_byte_survives)
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte) {
        all += static_cast<char>(byte);
    }
    const std::string encoded = percent_encoded(all);
    CHECK(std::all_of(encoded.begin(), encoded.end(), [](unsigned char each) {
        return std::isalnum(each) != 0 ||
               std::string{"-._~%"}.find(static_cast<char>(each)) != std::string::npos;
    }));
    CHECK(percent_decoded(encoded) == all);
    STRCMP_EQUAL("a-Z_0.~%2F%00%0D%0A%20%25%C3%A4",
                 percent_encoded(std::string{"a-Z_0.~/\0\r\n %\xc3\xa4", 15}).c_str());
    STRCMP_EQUAL("", percent_encoded({}).c_str());
}

TEST(percent_encoding, malformed_text_has_no_decoded_form)
{
    for (const char* text : {"%", "a%4", "%zz", "%4g", "%%41"}) {
        CHECK_TEXT(!percent_decoded(text), text);
    }
    CHECK(percent_decoded("") == "");
    CHECK(percent_decoded("a+%2b") == "a++");
}
