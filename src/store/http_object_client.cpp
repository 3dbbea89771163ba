#include "store/http_object_client.hpp"

#include "store/object_wire.hpp"

#include <iterator>
#include <utility>

namespace savoryscale::store {

http_object_client::http_object_client(std::vector<settings::endpoint> addresses,
                                       const call_limiter_options& options, std::uint64_t seed)
    : limiter_{make_call_limiter(options, monotonic_now())},
      random_{seed},
      addresses_{std::move(addresses)}
{
}

void http_object_client::submit(object_call call)
{
    const time_point deadline = monotonic_now() + call.timeout_;
    send(std::move(call), {}, {}, deadline);
}

void http_object_client::send(object_call call, object_reply so_far, const std::string& after,
                              time_point deadline)
{
    settings::endpoint destination;
    if (!admit_call(destination)) {
        call.done_({call_status::not_sent, {}});
        return;
    }
    call.timeout_ = deadline - monotonic_now();
    http_request request = to_request(call, after);
    request.destination_ = std::move(destination);
    request.done_ = [this, call = std::move(call), so_far = std::move(so_far),
                     deadline](const http_answer& answer) mutable {
        object_page page = parse_answer(answer, call.operation_);
        on_page(std::move(call), std::move(so_far), std::move(page), deadline);
    };
    http_client_.submit(std::move(request));
}

void http_object_client::on_page(object_call call, object_reply so_far, object_page page,
                                 time_point deadline)
{
    const call_status status = page.reply_.status_;
    record_call_result(status != call_status::not_sent && status != call_status::unknown &&
                       status != call_status::unavailable);
    so_far.status_ = status;
    so_far.unreadable_ += page.reply_.unreadable_;
    std::move(page.reply_.objects_.begin(), page.reply_.objects_.end(),
              std::back_inserter(so_far.objects_));
    const bool more = status == call_status::ok && !page.next_.empty();
    if (call.operation_ == operation::list && more) {
        send(std::move(call), std::move(so_far), page.next_, deadline);
        return;
    }
    if (status != call_status::ok) {
        so_far.objects_.clear(); // never return a partial list
    }
    call.done_(std::move(so_far));
}

bool http_object_client::admit_call(settings::endpoint& destination)
{
    const std::lock_guard lock{mutex_};
    if (!admit(limiter_, monotonic_now())) {
        return false;
    }
    destination = addresses_[next_address_];
    return true;
}

void http_object_client::record_call_result(bool answered)
{
    const std::lock_guard lock{mutex_};
    record_result(limiter_, answered, monotonic_now(), random_);
    if (!answered) {
        next_address_ = (next_address_ + 1) % addresses_.size();
    }
}

} // namespace savoryscale::store
