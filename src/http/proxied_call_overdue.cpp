// The part of a call whose answer is still being forwarded at the deadline.

#include "http/caller_connection.hpp"
#include "http/http_task.hpp"
#include "http/proxied_call.hpp"

namespace savoryscale::http {

// The deadline of a route ends its answers too. Without a route's timeout it limits only the time
// until an answer begins.
void proxied_call::check_overdue_answer()
{
    deadline_timer_ = 0;
    if (route_->timeout_ <= duration::zero()) {
        return;
    }
    const time_point now = http_task_.loop().now();
    waits_for_caller_ = caller_.queued() > 0;
    if (const auto more = dispatch::overdue_answer_may_go_on(
            {now - deadline_, now - progressed_at_, waits_for_caller_})) {
        deadline_timer_ = http_task_.loop().at(now + *more, [this] { check_overdue_answer(); });
        return;
    }
    execute(dispatch::on_answer_overdue(state_));
}

} // namespace savoryscale::http
