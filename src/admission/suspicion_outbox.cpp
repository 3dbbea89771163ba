#include "admission/suspicion_outbox.hpp"

#include "base/backoff.hpp"

#include <chrono>
#include <iterator>
#include <utility>

namespace savoryscale::admission {

namespace {

using namespace std::chrono_literals;

constexpr duration retry_min = 40ms;
constexpr duration retry_max = 2s;

} // namespace

void add(suspicion_outbox& outbox, fingerprint request)
{
    if (outbox.waiting_.size() < outbox_max) {
        outbox.waiting_.insert(request);
    }
}

const std::vector<fingerprint>& take_batch(suspicion_outbox& outbox, time_point now)
{
    static const std::vector<fingerprint> none;
    if (!outbox.sending_.empty() || now < outbox.next_at_) {
        return none;
    }
    auto& waiting = outbox.waiting_;
    while (!waiting.empty() && outbox.sending_.size() < outbox_batch_max) {
        outbox.sending_.push_back(*waiting.begin());
        waiting.erase(waiting.begin());
    }
    return outbox.sending_;
}

void on_batch_ended(suspicion_outbox& outbox, bool received, time_point now, random_source& random)
{
    const auto batch = std::exchange(outbox.sending_, {});
    if (received) {
        outbox.failures_ = 0;
        outbox.next_at_ = now + outbox_interval;
        return;
    }
    outbox.next_at_ = now + backoff(retry_min, retry_max, outbox.failures_++, random);
    for (const fingerprint request : batch) {
        add(outbox, request);
    }
}

std::optional<time_point> next_batch_at(const suspicion_outbox& outbox)
{
    const bool idle = outbox.waiting_.empty() || !outbox.sending_.empty();
    return idle ? std::nullopt : std::optional{outbox.next_at_};
}

} // namespace savoryscale::admission
