#pragma once

// Reports requests that crashed targets to the hosts that serve others, which pass them on with
// the directory; see admission/suspicion_outbox.hpp.

#include "admission/quarantine.hpp"
#include "admission/suspicion_outbox.hpp"
#include "base/random.hpp"
#include "http/timer_queue.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::http {

class buffered_exchange;
struct buffered_answer;
class connection_pool;
class event_loop;

class suspicion_reports {
public:
    using received_function = std::function<void(std::span<const peer::fact>)>;

    // `on_received` gets what other hosts know.
    suspicion_reports(event_loop& loop, random_source& random, const admission::quarantine& known,
                      received_function on_received);
    ~suspicion_reports();
    suspicion_reports(const suspicion_reports&) = delete;
    suspicion_reports& operator=(const suspicion_reports&) = delete;
    suspicion_reports(suspicion_reports&&) = delete;
    suspicion_reports& operator=(suspicion_reports&&) = delete;

    // Sets the hosts to report to; `own` is left out. A new one gets all that is known. If this is
    // one of them, it asks the others for what they know, since it may have been restarted.
    void set_hosts(std::span<const settings::endpoint> hosts, const settings::endpoint& own);

    // Reports a new or changed suspicion to all hosts.
    void report(admission::fingerprint request);

    // Reports all that is known to one host: it was restarted. `host`: "ip:port".
    void report_all(std::string_view host);

private:
    struct receiver {
        settings::endpoint address_;
        std::unique_ptr<connection_pool> pool_;
        admission::suspicion_outbox outbox_;
        std::unique_ptr<buffered_exchange> exchange_;
        timer_id timer_ = 0;
        bool is_asked_ = true; // for what it knows; false: it is to be asked
    };

    void add_all(receiver& to);
    void send(receiver& to);
    std::string next_path(receiver& to);
    void on_ended(receiver& to, const buffered_answer& answer);

    event_loop& loop_;
    random_source& random_;
    const admission::quarantine& quarantine_;
    received_function on_received_;
    std::vector<std::unique_ptr<receiver>> receivers_;
};

} // namespace savoryscale::http
