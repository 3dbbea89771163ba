#pragma once

// Asks the granters one after the other until one grants a request to one of several targets.

#include "http/limit_grants.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace savoryscale::http {

class buffered_exchange;
struct buffered_answer;

class grant_search {
public:
    // `granted`: index of the wish; none: denied. Not called once this is destroyed.
    using done_function = std::function<void(std::optional<std::size_t> granted)>;

    grant_search(limit_grants& grants, routing::grant_request request, done_function done);
    ~grant_search();
    grant_search(const grant_search&) = delete;
    grant_search& operator=(const grant_search&) = delete;
    grant_search(grant_search&&) = delete;
    grant_search& operator=(grant_search&&) = delete;

    // Starts asking; `done` may be called before this returns.
    void start();

private:
    void ask_next();
    bool ask(const routing::grant_question& question);
    void on_exchange_ended(const routing::grant_question& question, const buffered_answer& answer);
    void on_answer(const routing::grant_question& question, const routing::grant_answer& answer);
    void finish(std::optional<std::size_t> granted);

    limit_grants& grants_;
    routing::grant_request request_;
    done_function done_;
    std::vector<bool> asked_; // by granter
    int granters_asked_ = 0;
    int granters_failed_ = 0;
    std::uint64_t epoch_ = 0; // of the granters when this started
    std::unique_ptr<buffered_exchange> exchange_;
};

} // namespace savoryscale::http
