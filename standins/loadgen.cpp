// A load generator: sends calls at a given rate to several entry hosts, checks each answer byte for
// byte, and compares the answers with the counters of the stand-in upstreams.

#include "common/check_result.hpp"
#include "common/content.hpp"
#include "common/load_run.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

DEFINE_string(hosts, "127.0.0.1:24000", "entry hosts as ip:port,ip:port");
DEFINE_string(controls, "", "control ports of the stand-in upstreams, whose counters are compared");
DEFINE_double(rate, 1000, "calls per second; 0: each answer starts the next call");
DEFINE_uint32(concurrency, 64, "maximum number of calls in progress");
DEFINE_uint64(calls, 10000, "total number of calls");
DEFINE_string(mix, "0.8,0.2,0,0", "shares of lookups, commits, downloads and crashing requests");
DEFINE_uint64(lookup_bytes, 256, "size of a lookup's answer");
DEFINE_uint64(commit_bytes, 128, "size of a commit's body");
DEFINE_uint64(download_bytes, 1048576, "size of a download");
DEFINE_string(lookup_path, "/ledger/lots", "path prefix of lookups");
DEFINE_string(commit_path, "/ledger/commits", "path prefix of commits");
DEFINE_string(download_path, "/photos", "path prefix of downloads");
DEFINE_double(keyed, 0.5, "share of the commits that carry Idempotency-Key");
DEFINE_uint32(attempts, 1, "maximum attempts per call, each through another host");
DEFINE_uint64(customers, 16, "number of customers");
DEFINE_uint64(seed, 1, "seed of every random draw, and part of the commit ids");
DEFINE_uint32(timeout_ms, 10000, "a caller closes its connection after this time");
DEFINE_uint32(deadline_ms, 0, "sent as X-Deadline-Ms; 0: not sent");
DEFINE_double(read_bytes_per_s, 0, "limit on reading answers; 0: unlimited");
DEFINE_bool(json, false, "print JSON");

namespace {

using namespace savoryscale::standins;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr std::array kind_names{"lookup", "commit", "download", "killer"};
constexpr std::array end_names{"good",    "wrong",   "broken", "timeout",
                               "not_run", "unknown", "refused"};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin < list.size()) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        items.push_back(list.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

std::vector<tcp::endpoint> endpoints(const std::string& list)
{
    std::vector<tcp::endpoint> found;
    for (const auto& item : split(list)) {
        const auto colon = item.rfind(':');
        found.emplace_back(boost::asio::ip::make_address(item.substr(0, colon)),
                           static_cast<std::uint16_t>(std::stoi(item.substr(colon + 1))));
    }
    return found;
}

load_settings settings_from_flags()
{
    load_settings settings;
    settings.hosts_ = endpoints(FLAGS_hosts);
    settings.rate_ = FLAGS_rate;
    settings.concurrency_ = FLAGS_concurrency;
    settings.calls_ = FLAGS_calls;
    const auto shares = split(FLAGS_mix);
    for (std::size_t kind = 0; kind < call_kind_count; ++kind) {
        settings.weights_[kind] = kind < shares.size() ? std::stod(shares[kind]) : 0;
    }
    settings.lookup_bytes_ = FLAGS_lookup_bytes;
    settings.commit_bytes_ = FLAGS_commit_bytes;
    settings.download_bytes_ = FLAGS_download_bytes;
    settings.lookup_path_ = FLAGS_lookup_path;
    settings.commit_path_ = FLAGS_commit_path;
    settings.download_path_ = FLAGS_download_path;
    settings.keyed_ratio_ = FLAGS_keyed;
    settings.attempts_ = FLAGS_attempts;
    settings.customers_ = FLAGS_customers;
    settings.seed_ = FLAGS_seed;
    settings.caller_.timeout_ = std::chrono::milliseconds{FLAGS_timeout_ms};
    settings.caller_.deadline_ms_ = FLAGS_deadline_ms;
    settings.caller_.read_bytes_per_s_ = FLAGS_read_bytes_per_s;
    return settings;
}

json read_counters(boost::asio::io_context& io, const tcp::endpoint& control)
{
    namespace http = boost::beast::http;
    constexpr std::uint64_t counters_bytes_max = std::uint64_t{1} << 30;
    tcp::socket socket{io};
    socket.connect(control);
    http::request<http::empty_body> request{http::verb::get, "/control/counters", 11};
    request.set(http::field::host, "control");
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> answer;
    answer.body_limit(counters_bytes_max);
    http::read(socket, buffer, answer);
    return json::parse(answer.get().body());
}

// Adds up the counts of each commit over all control ports.
std::unordered_map<std::string, commit_count> read_commits(boost::asio::io_context& io)
{
    std::unordered_map<std::string, commit_count> commits;
    for (const auto& control : endpoints(FLAGS_controls)) {
        const json counters = read_counters(io, control);
        for (const auto& [id, runs] : counters.at("commits").items()) {
            commits[id].started_ += runs.at(0).get<std::uint32_t>();
            commits[id].ran_ += runs.at(1).get<std::uint32_t>();
        }
    }
    return commits;
}

json report(const load_totals& totals, const check_result& found)
{
    json answer{{"seconds", std::chrono::duration<double>(totals.elapsed_).count()},
                {"compared", !FLAGS_controls.empty()},
                {"wrong", found.wrong_},
                {"twice", found.twice_},
                {"false_not_run", found.false_not_run_},
                {"never_ran", found.never_ran_},
                {"examples", found.examples_}};
    for (std::size_t end = 0; end < call_end_count; ++end) {
        answer["attempts"][end_names[end]] = totals.attempt_ends_[end];
    }
    for (std::size_t kind = 0; kind < call_kind_count; ++kind) {
        const histogram& latency = totals.latency_[kind];
        json& calls = answer[kind_names[kind]];
        for (std::size_t end = 0; end < call_end_count; ++end) {
            calls[end_names[end]] = totals.ends_[kind][end];
        }
        calls["p50_us"] = latency.at(0.5);
        calls["p90_us"] = latency.at(0.9);
        calls["p99_us"] = latency.at(0.99);
        calls["p999_us"] = latency.at(0.999);
        calls["max_us"] = latency.max();
    }
    return answer;
}

void print_text(const json& answer)
{
    for (const auto* kind : kind_names) {
        const json& calls = answer[kind];
        std::uint64_t count = 0;
        std::string ends;
        for (const auto* end : end_names) {
            count += calls[end].get<std::uint64_t>();
            ends += fmt::format(" {} {}", end, calls[end].get<std::uint64_t>());
        }
        if (count == 0) {
            continue;
        }
        fmt::print("{}: {} calls,{}\n", kind, count, ends);
        fmt::print("  p50 {} p90 {} p99 {} p99.9 {} max {} us\n", calls["p50_us"].dump(),
                   calls["p90_us"].dump(), calls["p99_us"].dump(), calls["p999_us"].dump(),
                   calls["max_us"].dump());
    }
    fmt::print("wrong bodies {}\n", answer["wrong"].dump());
    if (!answer["compared"].get<bool>()) {
        fmt::print("runs of commits not compared: no --controls\n");
        return;
    }
    fmt::print("commits run twice {}, not-run answers that ran {}, answered but never run {}\n",
               answer["twice"].dump(), answer["false_not_run"].dump(), answer["never_ran"].dump());
    if (!answer["examples"].empty()) {
        fmt::print("for example {}\n", answer["examples"].dump());
    }
}

int run()
{
    const load_settings settings = settings_from_flags();
    boost::asio::io_context io{1};
    load_run load{io, settings};
    const load_totals& totals = load.run();
    // Without counters of the upstreams only the answers themselves can be checked.
    check_result found = check_totals(totals, read_commits(io));
    if (FLAGS_controls.empty()) {
        found.never_ran_ = 0;
        found.examples_.clear();
    }
    const json answer = report(totals, found);
    if (FLAGS_json) {
        fmt::print("{}\n", answer.dump());
    }
    else {
        print_text(answer);
    }
    return found.violations() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("load generator that checks every answer");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    }
    catch (const std::exception& failure) {
        fmt::print(stderr, "{}; check --hosts, --controls and --mix\n", failure.what());
        return 2;
    }
}
