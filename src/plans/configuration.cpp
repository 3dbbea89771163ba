#include "plans/configuration.hpp"

#include "plans/lists_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

// Readers of the JSON objects in the stored text.
namespace savoryscale::plans::stored_text {

using settings::json_node;
using settings::limits;
using settings::object_reader;

constexpr limits version_limits{0, INT64_MAX};
constexpr limits set_ms_limits{0, 253'402'300'799'000}; // up to the year 9999

// Wrapper types that select the read() overload for the stored format.
struct customer_list {
    std::vector<customer> items_;
};
struct plan_list {
    std::vector<plan> items_;
};
struct removed_list {
    std::vector<tombstone> items_;
};
struct recent_list {
    std::vector<applied_change> items_;
};

static void read_stamp(object_reader& reader, stamp& out)
{
    reader.required("version", out.version_, version_limits);
    reader.required("set_ms", out.set_ms_, set_ms_limits);
}

static void read(const json_node& at, customer_list& out, limits /*bounds*/)
{
    read_members(at, [&out](const json_node& node, const std::string& name) {
        check_name(node, name);
        customer& each = out.items_.emplace_back();
        each.name_ = name;
        object_reader reader{node};
        reader.required("plan", each.plan_, name_bytes);
        read_stamp(reader, each.stamp_);
        reader.reject_unknown();
    });
}

static void read(const json_node& at, plan_list& out, limits /*bounds*/)
{
    read_members(at, [&out](const json_node& node, const std::string& name) {
        check_name(node, name);
        plan& each = out.items_.emplace_back();
        each.name_ = name;
        object_reader reader{node};
        reader.required("allowances", each.allowances_);
        read_stamp(reader, each.stamp_);
        reader.reject_unknown();
    });
}

static void read_removed(const json_node& at, list_kind list, std::vector<tombstone>& out)
{
    read_members(at, [list, &out](const json_node& node, const std::string& name) {
        check_name(node, name);
        tombstone& each = out.emplace_back();
        each.entry_ = {list, name};
        object_reader reader{node};
        read_stamp(reader, each.stamp_);
        reader.reject_unknown();
    });
}

// Tombstones of one list.
template<list_kind list>
struct removed_from {
    std::vector<tombstone> items_;
};

template<list_kind list>
static void read(const json_node& at, removed_from<list>& out, limits /*bounds*/)
{
    read_removed(at, list, out.items_);
}

static void read(const json_node& at, removed_list& out, limits /*bounds*/)
{
    removed_from<list_kind::customers> customers;
    removed_from<list_kind::plans> plans;
    object_reader reader{at};
    reader.required("customers", customers);
    reader.required("plans", plans);
    reader.reject_unknown();
    out.items_ = std::move(customers.items_);
    std::move(plans.items_.begin(), plans.items_.end(), std::back_inserter(out.items_));
}

// The keys are versions. The JSON object orders them as text, so they are sorted by number here.
static void read(const json_node& at, recent_list& out, limits /*bounds*/)
{
    read_members(at, [&out](const json_node& node, const std::string& name) {
        applied_change& each = out.items_.emplace_back();
        const auto version = nlohmann::json::parse(name, nullptr, false);
        if (!version.is_number_unsigned()) {
            node.fail("is not a version number", "use the version of the change as its key");
            return;
        }
        each.version_ = version.get<std::uint64_t>();
        read_digest(node, each.id_);
    });
    std::sort(
        out.items_.begin(), out.items_.end(),
        [](const applied_change& a, const applied_change& b) { return a.version_ < b.version_; });
}

} // namespace savoryscale::plans::stored_text

namespace savoryscale::plans {

namespace {

using settings::error_list;

std::string print_stamp(const stamp& value)
{
    return fmt::format("\"version\": {}, \"set_ms\": {}", value.version_, value.set_ms_);
}

std::string print_customer(const customer& each)
{
    return fmt::format("{}: {{\"plan\": {}, {}}}", json_string(each.name_), json_string(each.plan_),
                       print_stamp(each.stamp_));
}

std::string print_plan(const plan& each)
{
    return fmt::format("{}: {{\"allowances\": {}, {}}}", json_string(each.name_),
                       print_allowances(each.allowances_), print_stamp(each.stamp_));
}

std::string print_removed(const std::vector<tombstone>& removed, list_kind list)
{
    std::vector<tombstone> of_list;
    std::copy_if(removed.begin(), removed.end(), std::back_inserter(of_list),
                 [list](const tombstone& each) { return each.entry_.list_ == list; });
    return print_members(of_list, "", [](const tombstone& each) {
        return fmt::format("{}: {{{}}}", json_string(each.entry_.name_), print_stamp(each.stamp_));
    });
}

std::string print_recent(const std::vector<applied_change>& recent)
{
    return print_members(recent, "", [](const applied_change& each) {
        return fmt::format("\"{}\": \"{}\"", each.version_, print_digest(each.id_));
    });
}

} // namespace

std::string print(const configuration& value)
{
    return fmt::format("{{\"version\": {},\n\"floor\": {},\n\"customers\": {},\n\"plans\": {},\n"
                       "\"removed\": {{\"customers\": {},\n\"plans\": {}}},\n\"recent\": {}}}\n",
                       value.lists_.version_, value.floor_,
                       print_members(value.lists_.customers_, "", print_customer),
                       print_members(value.lists_.plans_, "", print_plan),
                       print_removed(value.removed_, list_kind::customers),
                       print_removed(value.removed_, list_kind::plans),
                       print_recent(value.recent_));
}

validated<configuration> parse_configuration(std::string_view text, std::string_view name)
{
    error_list errors{std::string{name}, {}};
    if (text.size() > max_configuration_bytes) {
        return tl::unexpected{std::vector<error>{size_error(errors.file_, text.size())}};
    }
    const auto root = settings::parse_json(text, errors);
    if (!root) {
        return tl::unexpected{std::move(errors.errors_)};
    }
    configuration result;
    stored_text::customer_list customers;
    stored_text::plan_list plans;
    stored_text::removed_list removed;
    stored_text::recent_list recent;
    const settings::json_node at{*root, "", errors};
    settings::object_reader reader{at};
    reader.required("version", result.lists_.version_, {1, INT64_MAX});
    reader.required("floor", result.floor_, stored_text::version_limits);
    reader.required("customers", customers);
    reader.required("plans", plans);
    reader.required("removed", removed);
    reader.required("recent", recent);
    reader.reject_unknown();
    result.lists_.customers_ = std::move(customers.items_);
    result.lists_.plans_ = std::move(plans.items_);
    result.removed_ = std::move(removed.items_);
    result.recent_ = std::move(recent.items_);
    check_plans_exist(result.lists_, errors);
    if (!errors.errors_.empty()) {
        return tl::unexpected{std::move(errors.errors_)};
    }
    return result;
}

error size_error(std::string_view where, std::size_t bytes)
{
    return {error_kind::exhausted, std::string{where},
            fmt::format("is {} bytes, more than the maximum of {} that the object API stores",
                        bytes, max_configuration_bytes),
            "remove customers or plans that are no longer used"};
}

} // namespace savoryscale::plans
