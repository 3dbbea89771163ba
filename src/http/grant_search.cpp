#include "http/grant_search.hpp"

#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "peer/grant_wire.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

constexpr duration answer_timeout = 100ms;
constexpr std::size_t answer_bytes_max = 256;

// Granters asked for one request: while many requests are denied, another one finds what the last
// granter has left.
constexpr int granters_asked_max = 2;
constexpr int status_ok = 200;

routing::grant_request wished_of(const routing::grant_request& request,
                                 const routing::grant_question& question)
{
    routing::grant_request wished{request.priority_, {}};
    for (const std::size_t wish : question.wishes_) {
        wished.wishes_.push_back(request.wishes_[wish]);
    }
    return wished;
}

} // namespace

grant_search::grant_search(limit_grants& grants, routing::grant_request request, done_function done)
    : grants_{grants},
      request_{std::move(request)},
      done_{std::move(done)},
      asked_(grants.granters_.size()),
      epoch_{grants.epoch_}
{
}

grant_search::~grant_search() = default;

void grant_search::start()
{
    ask_next();
}

void grant_search::ask_next()
{
    const time_point now = grants_.loop_.now();
    while (epoch_ == grants_.epoch_ && granters_asked_ < granters_asked_max) {
        const auto question =
            routing::next_question(grants_.book_, request_.wishes_, asked_, now, grants_.random_);
        if (!question) {
            break;
        }
        asked_[question->granter_] = true;
        ++granters_asked_;
        if (ask(*question)) {
            return;
        }
    }
    finish(std::nullopt);
}

// Returns whether the answer will come, or has ended the search.
bool grant_search::ask(const routing::grant_question& question)
{
    const auto& granter = grants_.granters_[question.granter_];
    const routing::grant_request wished = wished_of(request_, question);
    if (granter.pool_ == nullptr) {
        on_answer(question, routing::grant(grants_.granter_, wished, grants_.loop_.now()));
        return true;
    }
    exchange_ = std::make_unique<buffered_exchange>(
        grants_.loop_,
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", peer::write_grant_path(wished),
                    granter.pool_->name()),
        answer_bytes_max);
    const bool began = exchange_->start(*granter.pool_, answer_timeout,
                                        [this, question](const buffered_answer& answer) {
                                            grants_.loop_.destroy_later(std::move(exchange_));
                                            on_exchange_ended(question, answer);
                                        });
    if (!began) {
        exchange_.reset();
    }
    return began;
}

void grant_search::on_exchange_ended(const routing::grant_question& question,
                                     const buffered_answer& answer)
{
    if (epoch_ != grants_.epoch_) {
        finish(std::nullopt);
        return;
    }
    const bool answered =
        answer.end_ == buffered_answer::end::answered && answer.head_.status_ == status_ok;
    const auto read = answered ? peer::read_grant_answer(answer.body_)
                               : result<routing::grant_answer>{tl::unexpected(error{})};
    if (!read) {
        ++granters_failed_;
        routing::on_granter_failed(grants_.book_, question.granter_, grants_.loop_.now());
        ask_next();
        return;
    }
    on_answer(question, *read);
}

void grant_search::on_answer(const routing::grant_question& question,
                             const routing::grant_answer& answer)
{
    routing::on_grant_answer(grants_.book_, question, request_.wishes_, answer,
                             grants_.loop_.now());
    if (answer.granted_ && *answer.granted_ < question.wishes_.size()) {
        finish(question.wishes_[*answer.granted_]);
        return;
    }
    ask_next();
}

void grant_search::finish(std::optional<std::size_t> granted)
{
    telemetry::decided("grant_decided", {},
                       {{"wishes", std::to_string(request_.wishes_.size())},
                        {"granters_asked", std::to_string(granters_asked_)},
                        {"granters_failed", std::to_string(granters_failed_)},
                        {"target", granted ? request_.wishes_[*granted].target_ : ""}});
    if (const done_function done = std::exchange(done_, {})) {
        done(granted); // may destroy this
    }
}

} // namespace savoryscale::http
