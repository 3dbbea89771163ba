#include "plans/edited_file.hpp"

#include "plans/configuration.hpp"
#include "plans/lists_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

// Readers of the JSON objects in the file that operators edit.
namespace savoryscale::plans::file_text {

using settings::json_node;
using settings::limits;
using settings::object_reader;

// Wrapper types that select the read() overload for the edited file's format.
struct customer_list {
    std::vector<customer> items_;
};
struct plan_list {
    std::vector<plan> items_;
};
template<list_kind list>
struct base_list {
    std::vector<base_entry> items_;
};
struct base {
    std::uint64_t version_ = 0;
    std::vector<base_entry> entries_;
};

static void read(const json_node& at, customer_list& out, limits /*bounds*/)
{
    read_members(at, [&out](const json_node& node, const std::string& name) {
        check_name(node, name);
        customer& each = out.items_.emplace_back();
        each.name_ = name;
        settings::read(node, each.plan_, name_bytes);
    });
}

static void read(const json_node& at, plan_list& out, limits bounds)
{
    read_members(at, [&out, bounds](const json_node& node, const std::string& name) {
        check_name(node, name);
        plan& each = out.items_.emplace_back();
        each.name_ = name;
        plans::read(node, each.allowances_, bounds);
    });
}

template<list_kind list>
static void read(const json_node& at, base_list<list>& out, limits /*bounds*/)
{
    read_members(at, [&out](const json_node& node, const std::string& name) {
        base_entry& each = out.items_.emplace_back();
        each.entry_ = {list, name};
        read_digest(node, each.digest_);
    });
}

static void read(const json_node& at, base& out, limits /*bounds*/)
{
    base_list<list_kind::customers> customers;
    base_list<list_kind::plans> plans;
    object_reader reader{at};
    reader.required("version", out.version_, {0, INT64_MAX});
    reader.required("customers", customers);
    reader.required("plans", plans);
    reader.reject_unknown();
    out.entries_ = std::move(customers.items_);
    std::move(plans.items_.begin(), plans.items_.end(), std::back_inserter(out.entries_));
}

} // namespace savoryscale::plans::file_text

namespace savoryscale::plans {

namespace {

using settings::error_list;

// Maximum file size in bytes: the configuration, its base, and room for comments.
constexpr std::size_t max_file_bytes = 4 * max_configuration_bytes;

constexpr std::string_view indent = "        ";

void check_services(const lists& value, std::span<const std::string> services, error_list& errors)
{
    for (const plan& each : value.plans_) {
        for (const allowance& allowed : each.allowances_) {
            if (std::find(services.begin(), services.end(), allowed.service_) != services.end()) {
                continue;
            }
            const entry_id entry{list_kind::plans, each.name_};
            errors.errors_.push_back(
                {error_kind::invalid,
                 fmt::format("{}#{}/{}", errors.file_, to_pointer(entry), allowed.service_),
                 "is an unknown service",
                 fmt::format("use one of the services in the settings: {}",
                             fmt::join(services, ", "))});
        }
    }
}

std::string print_customer(const customer& each)
{
    return fmt::format("{}: {}", json_string(each.name_), json_string(each.plan_));
}

std::string print_plan(const plan& each)
{
    return fmt::format("{}: {}", json_string(each.name_), print_allowances(each.allowances_));
}

// Prints an entry's name and digest as a member of the base.
template<class Entry>
std::string print_base(const Entry& each)
{
    return fmt::format("{}: \"{}\"", json_string(each.name_), print_digest(digest(each)));
}

} // namespace

validated<edited_file> parse_edited_file(std::string_view text, std::string_view name,
                                         std::span<const std::string> services)
{
    error_list errors{std::string{name}, {}};
    if (text.size() > max_file_bytes) {
        return tl::unexpected{std::vector<error>{size_error(name, text.size())}};
    }
    const auto root = settings::parse_json(text, errors);
    if (!root) {
        return tl::unexpected{std::move(errors.errors_)};
    }
    file_text::customer_list customers;
    file_text::plan_list plans;
    file_text::base base;
    const settings::json_node at{*root, "", errors};
    settings::object_reader reader{at};
    reader.required("customers", customers);
    reader.required("plans", plans);
    reader.optional("base", base);
    reader.reject_unknown();

    edited_file result;
    result.lists_.customers_ = std::move(customers.items_);
    result.lists_.plans_ = std::move(plans.items_);
    result.base_version_ = base.version_;
    result.base_ = std::move(base.entries_);
    check_plans_exist(result.lists_, errors);
    if (!services.empty()) {
        check_services(result.lists_, services, errors);
    }
    if (!errors.errors_.empty()) {
        return tl::unexpected{std::move(errors.errors_)};
    }
    return result;
}

std::string print_edited_file(const configuration& in_force)
{
    const lists& value = in_force.lists_;
    return fmt::format("{{\n"
                       "    // Customers and the plan each is on.\n"
                       "    \"customers\": {},\n"
                       "    // What each plan may use of each service, all entry hosts together.\n"
                       "    \"plans\": {},\n"
                       "    // What was pulled. Leave it as it is: apply compares with it.\n"
                       "    \"base\": {{\n"
                       "    \"version\": {},\n"
                       "    \"customers\": {},\n"
                       "    \"plans\": {}}}\n"
                       "}}\n",
                       print_members(value.customers_, indent, print_customer),
                       print_members(value.plans_, indent, print_plan), value.version_,
                       print_members(value.customers_, indent, print_base<customer>),
                       print_members(value.plans_, indent, print_base<plan>));
}

} // namespace savoryscale::plans
