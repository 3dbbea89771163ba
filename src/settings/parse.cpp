#include "settings/parse.hpp"

#include "base/file.hpp"
#include "routing/policy.hpp"
#include "settings/deployment.hpp"
#include "settings/json_node.hpp"
#include "settings/tls_files.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace savoryscale::settings {

namespace {

constexpr std::size_t max_text_bytes = 1U << 20U;
constexpr limits name_length{1, 64};
constexpr limits header_length{1, 128};
constexpr limits path_length{1, 1024};
constexpr limits file_length{1, 4096};
constexpr limits timeout_ms{1, 3'600'000};
constexpr limits short_time_ms{0, 600'000};
constexpr limits short_time_s{0, 600};
constexpr limits per_second{0, 1'000'000};
constexpr limits curve_key_length{40, 40};

bool is_ip(std::string_view text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, std::string{text}.c_str(), address.data()) == 1;
}

// Parses "ip:port" or "[ip]:port"; returns no value for anything else.
std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool port_good =
        failure == std::errc{} && end == digits.data() + digits.size() && port > 0;
    if (!port_good || !is_ip(ip, bracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return endpoint{std::string{ip}, port};
}

// Whether the text is a token of RFC 9110: a method or a header name.
bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return c < 128 && (std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != marks.npos);
    });
}

// Whether the text can be used in object keys, metric labels and subjects of facts.
bool is_name(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 128 && (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.');
    });
}

bool is_path(std::string_view text)
{
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return c > 0x20 && c < 0x7f && c != '?' && c != '#';
           });
}

bool is_z85(std::string_view text)
{
    constexpr std::string_view alphabet = "0123456789abcdefghijklmnopqrstuvwxyz"
                                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
    return text.find_first_not_of(alphabet) == std::string_view::npos;
}

constexpr auto name_remedy = "use letters, digits, '-', '_' and '.'";
constexpr auto token_remedy = "use letters, digits and '-'";
constexpr auto path_remedy = "start it with '/' and leave out spaces, '?' and '#'";

// Reads a name and checks its characters.
void required_name(object_reader& in, std::string_view key, std::string& out)
{
    in.required(key, out, name_length);
    in.check(is_name(out), key, "is not a valid name", name_remedy);
}

} // namespace

static void read(const json_node& at, endpoint& out, limits /*bounds*/)
{
    constexpr auto remedy =
        "write it as \"10.0.0.1:8080\" or \"[fd00::1]:8080\" with a port from 1 to 65535";
    if (!at.value_.is_string()) {
        at.fail("is not an address", remedy);
        return;
    }
    const auto address = parse_endpoint(at.value_.get_ref<const std::string&>());
    if (!address) {
        at.fail("is not an IP address with a port", remedy);
        return;
    }
    out = *address;
}

static void read(const json_node& at, tls_identity& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("certificate_file", out.certificate_file_, file_length);
    in.required("key_file", out.key_file_, file_length);
    in.reject_unknown();
    if (out.certificate_file_.empty() || out.key_file_.empty()) {
        return;
    }
    if (const auto failure = check_tls_files(out)) {
        json_node{at.value_, at.child_pointer(failure->where_), at.errors_}.fail(failure->what_,
                                                                                 failure->remedy_);
    }
}

static void read(const json_node& at, host& out, limits /*bounds*/)
{
    object_reader in{at};
    required_name(in, "id", out.id_);
    required_name(in, "data_centre", out.data_centre_);
    required_name(in, "region", out.region_);
    in.optional("hosts_max", out.hosts_max_, {1, 10'000});
    in.optional("memory_mb", out.memory_mb_, {32, 1 << 20});
    in.reject_unknown();
}

static void read(const json_node& at, listener& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("address", out.address_);
    in.optional("tls", out.tls_);
    in.optional("max_connections", out.max_connections_, {1, 1'000'000});
    in.optional("body_memory_mb", out.body_memory_mb_, {1, 65'536});
    in.optional("max_header_bytes", out.max_header_bytes_, {1024, 1 << 20});
    in.optional("idle_timeout_ms", out.idle_timeout_, timeout_ms);
    in.optional("header_timeout_ms", out.header_timeout_, timeout_ms);
    in.optional("stop_lag_ms", out.stop_lag_, short_time_ms);
    in.optional("grace_s", out.grace_, short_time_s);
    in.optional("fractional_retry_after", out.fractional_retry_after_);
    in.optional("refusals_prove_not_run", out.refusals_prove_not_run_);
    in.reject_unknown();
}

static void read(const json_node& at, peer_exchange& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("address", out.address_);
    in.required("public_key", out.public_key_, curve_key_length);
    in.required("secret_key", out.secret_key_, curve_key_length);
    in.optional("trusted_keys", out.trusted_keys_, curve_key_length);
    in.optional("seeds", out.seeds_);
    constexpr auto what = "is not a Z85 key";
    constexpr auto remedy = "copy the 40 characters of a CURVE key";
    in.check(is_z85(out.public_key_), "public_key", what, remedy);
    in.check(is_z85(out.secret_key_), "secret_key", what, remedy);
    const bool trusted = std::all_of(out.trusted_keys_.begin(), out.trusted_keys_.end(), is_z85);
    in.check(trusted, "trusted_keys", "has an element that is not a Z85 key", remedy);
    in.reject_unknown();
}

static void read(const json_node& at, platform& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("object_api", out.object_api_);
    in.required("host_list", out.host_list_);
    in.optional("call_timeout_ms", out.call_timeout_, timeout_ms);
    in.optional("calls_per_second", out.calls_per_second_, {1, 10'000});
    in.check(!out.object_api_.empty(), "object_api", "is empty", "name at least one address");
    in.check(!out.host_list_.empty(), "host_list", "is empty", "name at least one address");
    in.reject_unknown();
}

static void read(const json_node& at, static_target& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("address", out.address_);
    required_name(in, "data_centre", out.data_centre_);
    in.reject_unknown();
}

static void check_service(const object_reader& in, const service& out)
{
    const auto& methods = out.repeatable_methods_;
    in.check(out.path_prefix_.empty() || is_path(out.path_prefix_), "path_prefix", "is not a path",
             path_remedy);
    in.check(is_path(out.probe_path_), "probe_path", "is not a path", path_remedy);
    in.check(std::all_of(methods.begin(), methods.end(), is_token), "repeatable_methods",
             "has an element that is not a method", token_remedy);
    in.check(out.not_run_header_.empty() || is_token(out.not_run_header_), "not_run_header",
             "is not a header name", token_remedy);
    in.check(routing::policy_named(out.policy_).has_value(), "policy", "is not a policy",
             fmt::format("use one of: {}", fmt::join(routing::policy_names, ", ")));
    std::set<std::string> seen;
    for (const static_target& target : out.targets_) {
        const std::string address =
            fmt::format("{}:{}", target.address_.ip_, target.address_.port_);
        in.check(target.address_.port_ == 0 || seen.insert(address).second, "targets",
                 fmt::format("names {} twice", address), "keep one of the two");
    }
}

// Reads the members that a service has whether its name, routes and targets come from the settings
// or from a directory.
static void read_common(object_reader& in, service& out)
{
    in.optional("tls", out.tls_);
    in.optional("policy", out.policy_);
    in.optional("repeatable_methods", out.repeatable_methods_, {1, 32});
    in.optional("not_run_statuses", out.not_run_statuses_, {400, 599});
    in.optional("not_run_header", out.not_run_header_, header_length);
    in.optional("deadline_ms", out.deadline_, timeout_ms);
    in.optional("body_idle_timeout_ms", out.body_idle_timeout_, timeout_ms);
    in.optional("slots_per_target", out.slots_per_target_, {1, 10'000});
    in.optional("connections_per_target", out.connections_per_target_, {1, 100'000});
    in.optional("probes_per_second", out.probes_per_second_, per_second);
    in.optional("probe_bytes_per_second", out.probe_bytes_per_second_, {0, 1 << 30});
    in.optional("probe_path", out.probe_path_, path_length);
    in.optional("cold_start_ms", out.cold_start_, short_time_ms);
    in.optional("retry_ratio", out.retry_ratio_, {0, 1});
    in.optional("hedge", out.hedge_);
}

static void read(const json_node& at, service& out, limits /*bounds*/)
{
    object_reader in{at};
    required_name(in, "name", out.name_);
    in.required("path_prefix", out.path_prefix_, path_length);
    in.optional("targets", out.targets_);
    read_common(in, out);
    check_service(in, out);
    in.reject_unknown();
}

static void read(const json_node& at, header_names& out, limits /*bounds*/)
{
    object_reader in{at};
    const auto name = [&in](std::string_view key, std::string& field) {
        in.optional(key, field, {0, 128});
        in.check(field.empty() || is_token(field), key, "is not a header name", token_remedy);
    };
    name("request_id", out.request_id_);
    name("deadline", out.deadline_);
    name("seal", out.seal_);
    name("expect_instance", out.expect_instance_);
    name("instance", out.instance_);
    name("load", out.load_);
    name("limit", out.limit_);
    name("warm_up", out.warm_up_);
    name("key", out.key_);
    name("key_scheme", out.key_scheme_);
    name("organisation", out.organisation_);
    in.optional("caller_sets_request_id", out.caller_sets_request_id_);
    in.reject_unknown();
}

static void read(const json_node& at, readiness_listener& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("address", out.address_);
    in.optional("path", out.path_, path_length);
    in.optional("metrics_path", out.metrics_path_, path_length);
    in.check(is_path(out.path_), "path", "is not a path", path_remedy);
    in.check(is_path(out.metrics_path_), "metrics_path", "is not a path", path_remedy);
    in.reject_unknown();
}

// The settings shared by all services of a directory; a type of its own to select its read().
struct service_defaults {
    service& service_;
};

static void read(const json_node& at, service_defaults& out, limits /*bounds*/)
{
    object_reader in{at};
    read_common(in, out.service_);
    check_service(in, out.service_);
    in.reject_unknown();
}

static void read(const json_node& at, directory_feed& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("address", out.address_);
    in.optional("hosts", out.hosts_, {0, 64});
    in.optional("relay", out.relay_);
    in.optional("patience_ms", out.patience_, short_time_ms);
    in.reject_unknown();
}

static void read(const json_node& at, allotment_bounds& out, limits /*bounds*/)
{
    object_reader in{at};
    in.optional("window_s", out.window_, short_time_s);
    in.optional("overage", out.overage_, {0, 10});
    in.optional("slack", out.slack_, {0, 1'000'000});
    in.reject_unknown();
}

static void read(const json_node& at, cold_bounds& out, limits /*bounds*/)
{
    object_reader in{at};
    in.optional("overage", out.overage_, {0, 10});
    in.optional("slack", out.slack_, {0, 1'000'000});
    in.reject_unknown();
}

static void read(const json_node& at, directory& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("store", out.store_);
    in.optional("feed", out.feed_);
    in.optional("drain_s", out.drain_, short_time_s);
    in.optional("evacuation_s", out.evacuation_, short_time_s);
    in.optional("keys_age_max_s", out.keys_age_max_, short_time_s);
    in.optional("allotments", out.allotments_);
    in.optional("cold", out.cold_);
    in.optional("retry_ratio", out.retry_ratio_, {0, 1});
    in.optional("retry_slack", out.retry_slack_, {0, 1'000'000});
    in.optional("probes_per_target", out.probes_per_target_, {0, 100'000});
    in.optional("subset_targets", out.subset_targets_, {0, 100'000});
    service_defaults defaults{out.service_};
    in.optional("service", defaults);
    in.reject_unknown();
}

static void read(const json_node& at, tracing& out, limits /*bounds*/)
{
    object_reader in{at};
    in.optional("collector", out.collector_);
    in.optional("sample_ratio", out.sample_ratio_, {0, 1});
    in.optional("queue_spans", out.queue_spans_, {1, 1'000'000});
    in.reject_unknown();
}

static void read(const json_node& at, logging& out, limits /*bounds*/)
{
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    object_reader in{at};
    in.optional("json", out.json_);
    in.optional("level", out.level_);
    in.optional("lines_per_second", out.lines_per_second_, {1, 1'000'000});
    in.check(std::find(levels.begin(), levels.end(), out.level_) != levels.end(), "level",
             "is not a level", fmt::format("use one of: {}", fmt::join(levels, ", ")));
    in.reject_unknown();
}

// Records an error for each service whose member equals that of an earlier one.
static void reject_duplicates(const json_node& services, const std::vector<service>& all,
                              std::string service::*member, std::string_view key)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const std::string& text = all[i].*member;
        if (text.empty() || seen.insert(text).second) {
            continue;
        }
        const std::string pointer =
            fmt::format("{}/{}", services.child_pointer(std::to_string(i)), key);
        json_node{services.value_, pointer, services.errors_}.fail(
            "is the same as that of an earlier service", "give each service its own");
    }
}

static void read(const json_node& at, settings& out, limits /*bounds*/)
{
    object_reader in{at};
    in.required("host", out.host_);
    in.required("listen", out.listen_);
    in.optional("admin", out.admin_);
    in.optional("peer", out.peer_);
    in.optional("directory", out.directory_);
    if (out.directory_) {
        in.required("ready", out.ready_);
    }
    else {
        in.required("platform", out.platform_);
        in.required("services", out.services_);
        in.check(!out.services_.empty(), "services", "is empty", "name at least one service");
    }
    in.optional("header_names", out.header_names_);
    in.check(out.header_names_.limit_.empty() ||
                 (out.directory_ && out.directory_->service_.policy_ == "probed"),
             "header_names", "names a \"limit\" that this host would not keep",
             "set the policy \"probed\" in /directory/service, or remove \"limit\"");
    in.optional("tracing", out.tracing_);
    in.optional("logging", out.logging_);
    in.optional("customer_header", out.customer_header_, header_length);
    in.check(is_token(out.customer_header_), "customer_header", "is not a header name",
             token_remedy);
    in.check(!out.admin_ || *out.admin_ != out.listen_.address_, "admin",
             "is the same as the address of \"listen\"", "use a different port");
    in.check(!out.peer_ || out.peer_->address_ != out.listen_.address_, "peer",
             "has the same address as \"listen\"", "use a different port");
    const bool enough_connections =
        std::all_of(out.services_.begin(), out.services_.end(), [&](const service& each) {
            return each.connections_per_target_ >= out.host_.hosts_max_;
        });
    in.check(enough_connections, "services", "has a connections_per_target below hosts_max",
             "give each host at least one connection to each target, or lower hosts_max");
    in.reject_unknown();
    const json_node services{at.value_, at.child_pointer("services"), at.errors_};
    reject_duplicates(services, out.services_, &service::name_, "name");
    reject_duplicates(services, out.services_, &service::path_prefix_, "path_prefix");
}

validated<settings> parse(std::string_view text, std::string_view name)
{
    error_list errors{std::string{name}, {}};
    settings parsed;
    if (text.size() > max_text_bytes) {
        errors.errors_.push_back({error_kind::invalid, errors.file_,
                                  fmt::format("is {} bytes long", text.size()),
                                  fmt::format("keep it under {} bytes", max_text_bytes)});
    }
    else if (auto tree = parse_json(text, errors)) {
        apply_deployment(*tree);
        read(json_node{*tree, "", errors}, parsed, {});
    }
    if (!errors.errors_.empty()) {
        return tl::unexpected{std::move(errors.errors_)};
    }
    return parsed;
}

validated<settings> load(const std::string& file)
{
    const auto text = read_file(file);
    if (!text) {
        return tl::unexpected{
            std::vector<error>{{error_kind::not_found, file, "cannot be read",
                                "check the file's name, permissions and contents"}}};
    }
    return parse(*text, file);
}

} // namespace savoryscale::settings
