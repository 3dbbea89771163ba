#include "cli/arguments.hpp"
#include "cli/command.hpp"

#include <gflags/gflags.h>

#include <sstream>
#include <vector>

// Must come before CppUTest, which redefines new.
DEFINE_string(test_text, "", "text for this test");
DEFINE_int32(test_count, 0, "count for this test");
DEFINE_bool(test_dry, false, "Boolean for this test");

#include <CppUTest/TestHarness.h>

using namespace savoryscale;

namespace {

// Arguments in the form that main gets.
class argument_list {
public:
    explicit argument_list(std::vector<std::string> texts) : texts_{std::move(texts)}
    {
        for (std::string& text : texts_) {
            pointers_.push_back(text.data());
        }
    }
    std::span<char*> view() { return pointers_; }

private:
    std::vector<std::string> texts_;
    std::vector<char*> pointers_;
};

struct outcome {
    int code_ = 0;
    std::string out_;
    std::string err_;
};

outcome run_program(std::vector<std::string> texts)
{
    texts.insert(texts.begin(), "savoryscale");
    argument_list arguments{std::move(texts)};
    std::ostringstream out;
    std::ostringstream err;
    const int code = cli::run(arguments.view(), out, err);
    return {code, out.str(), err.str()};
}

const std::vector<std::string_view> test_flags{"test_text", "test_count", "test_dry"};

auto parse(std::vector<std::string> texts)
{
    argument_list arguments{std::move(texts)};
    return cli::parse_arguments(arguments.view(), test_flags);
}

} // namespace

TEST_GROUP(cli){};

TEST(cli, version_and_help_print_and_exit_0)
{
    LONGS_EQUAL(cli::exit_ok, run_program({"version"}).code_);
    STRCMP_CONTAINS("check", run_program({"help"}).out_.c_str());
    STRCMP_CONTAINS("FILE...", run_program({"help", "check"}).out_.c_str());
    STRCMP_CONTAINS("FILE...", run_program({"check", "--help"}).out_.c_str());
}

TEST(cli, mistakes_exit_2_and_print_a_remedy)
{
    const std::vector<std::pair<std::vector<std::string>, std::string>> mistakes{
        {{}, "run 'savoryscale help'"},
        {{"launch"}, "launch: is not a command; run 'savoryscale help'"},
        {{"help", "launch"}, "run 'savoryscale help'"},
        {{"check"}, "write: savoryscale check FILE..."},
        {{"version", "1"}, "write: savoryscale version"},
        {{"check", "--wait=1", "f"}, "--wait=1: is not a flag of this command; leave it out"},
        {{"check", "--flagfile=f", "f"}, "--flagfile=f: is not a flag of this command"},
        {{"check", "no-such-file"}, "no-such-file: cannot be read; check"},
    };
    for (const auto& [arguments, text] : mistakes) {
        const outcome seen = run_program(arguments);
        LONGS_EQUAL(cli::exit_invalid, seen.code_);
        STRCMP_CONTAINS(text.c_str(), seen.err_.c_str());
    }
}

TEST(cli, check_continues_after_an_invalid_file)
{
    const outcome seen = run_program(
        {"check", "no-such-file", "examples/calloway/settings.json", "other-missing-file"});
    LONGS_EQUAL(cli::exit_invalid, seen.code_);
    STRCMP_CONTAINS("examples/calloway/settings.json: valid", seen.out_.c_str());
    STRCMP_CONTAINS("other-missing-file", seen.err_.c_str());
    LONGS_EQUAL(cli::exit_ok, run_program({"check", "examples/pernoctas/settings.json"}).code_);
}

TEST(cli, check_rejects_lists_with_services_that_the_settings_lack)
{
    const std::string settings = "examples/calloway/settings.json";
    const outcome own = run_program({"check", "examples/calloway/lists.json", settings});
    STRCMP_EQUAL("", own.err_.c_str());
    LONGS_EQUAL(cli::exit_ok, own.code_);
    STRCMP_CONTAINS("lists.json: valid lists", own.out_.c_str());
    const outcome other = run_program({"check", "examples/pernoctas/lists.json", settings});
    LONGS_EQUAL(cli::exit_invalid, other.code_);
    STRCMP_CONTAINS("examples/pernoctas/lists.json#/plans/families/booking", other.err_.c_str());
    LONGS_EQUAL(cli::exit_ok, run_program({"check", "examples/pernoctas/lists.json"}).code_);
}

TEST(cli, flags_accept_every_notation)
{
    const auto operands =
        parse({"a", "--test-text=x=y", "--test_count", "7", "--test-dry", "--", "--b"});
    CHECK(operands.has_value());
    CHECK(*operands == (std::vector<std::string>{"a", "--b"}));
    STRCMP_EQUAL("x=y", FLAGS_test_text.c_str());
    LONGS_EQUAL(7, FLAGS_test_count);
    CHECK(FLAGS_test_dry);
    CHECK(parse({"--notest-dry"}).has_value());
    CHECK(!FLAGS_test_dry);
}

TEST(cli, all_invalid_flags_are_reported)
{
    const auto parsed = parse({"--test-count=many", "--unknown", "--test-text"});
    CHECK(!parsed);
    LONGS_EQUAL(3, parsed.error().size());
}
