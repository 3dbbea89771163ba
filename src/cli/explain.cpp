#include "cli/explain.hpp"

#include "cli/command.hpp"
#include "cli/settings_flag.hpp"
#include "http/explanation.hpp"
#include "store/http_client.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <future>
#include <ostream>

DEFINE_string(host, "", "Host header of the request");
DEFINE_string(organisation, "", "organisation whose caller sends the request");
DECLARE_bool(json);

namespace savoryscale::cli {

namespace {

constexpr int status_ok = 200;

store::http_answer ask(const settings::endpoint& address, const std::string& path)
{
    std::promise<store::http_answer> answered;
    store::http_client client;
    store::http_request request;
    request.destination_ = address;
    request.path_ = path;
    request.done_ = [&](store::http_answer answer) { answered.set_value(std::move(answer)); };
    client.submit(std::move(request));
    return answered.get_future().get();
}

} // namespace

int run_explain(std::span<const std::string> operands, std::ostream& out, std::ostream& err)
{
    const auto config = load_settings_from_flag(err);
    if (!config) {
        return exit_invalid;
    }
    if (!config->directory_ || !config->directory_->feed_) {
        err << settings_file_from_flag()
            << ": the host serves no other hosts and answers no questions; set /directory/feed\n";
        return exit_invalid;
    }
    const settings::endpoint& address = config->directory_->feed_->address_;
    const store::http_answer answer =
        ask(address, http::write_explain_path({FLAGS_host, operands.front(), FLAGS_organisation}));
    const bool answered =
        answer.outcome_ == store::http_outcome::answered && answer.status_ == status_ok;
    const auto words = answered ? http::describe_explanation(answer.body_) : std::nullopt;
    if (!words) {
        err << fmt::format(
            "{}: the host gave no explanation (status {}); check that it runs and is "
            "of this release\n",
            to_string(address), answer.status_);
        return exit_unknown;
    }
    out << (FLAGS_json ? answer.body_ + "\n" : *words);
    return exit_ok;
}

} // namespace savoryscale::cli
