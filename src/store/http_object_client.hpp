#pragma once

// A client of the object API over plain HTTP and JSON. Calls that exceed the rate limit or fall
// into a backoff end as not_sent. The client never retries a call.

#include "settings/settings.hpp"
#include "store/call_limiter.hpp"
#include "store/http_client.hpp"
#include "store/object_client.hpp"

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace savoryscale::store {

struct object_page;

class http_object_client final : public object_client {
public:
    // `addresses` must not be empty. After a failure the next address is used. `seed` seeds the
    // jitter of the backoff.
    http_object_client(std::vector<settings::endpoint> addresses,
                       const call_limiter_options& options, std::uint64_t seed);

    void submit(object_call call) override;

private:
    void send(object_call call, object_reply so_far, const std::string& after, time_point deadline);
    void on_page(object_call call, object_reply so_far, object_page page, time_point deadline);
    bool admit_call(settings::endpoint& destination);
    void record_call_result(bool answered);

    std::mutex mutex_; // guards the members up to next_address_
    call_limiter limiter_;
    random_source random_;
    std::vector<settings::endpoint> addresses_;
    std::size_t next_address_ = 0;
    http_client http_client_; // declared last: its thread uses the members above
};

} // namespace savoryscale::store
