#pragma once

// An in-memory stand-in for the platform's object API, with faults that can be switched on. It
// implements the protocol of store/object_wire.hpp.

#include "base/random.hpp"
#include "common/json_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace savoryscale::standins {

// Injected faults; probabilities are from 0 to 1.
struct store_faults {
    double lose_answer_ = 0;    // the write takes effect, but is not answered
    double lose_request_ = 0;   // the write takes no effect and is not answered
    double stale_read_ = 0;     // get and list return the version before the newest
    bool silent_watch_ = false; // watches are never answered
    bool refuse_ = false;       // every call is answered 503
    std::uint32_t delay_ms_ = 0;
};

class object_store {
public:
    object_store(boost::asio::io_context& io, std::uint64_t seed) : io_{io}, random_{seed} {}

    // Serves one call on /v1/objects.
    void answer(const control_request& request, const json_server::responder& respond);

    // Changes the faults that `changes` names. Returns the error, empty on success.
    std::string change_faults(const nlohmann::json& changes);

    // Counts of calls by kind, of writes that took effect, and of waiting watches, among others.
    nlohmann::json counters() const;

    // Closes the connections of all waiting watches.
    void drop_watches();

private:
    struct stored {
        std::string value_;
        std::uint64_t version_ = 0;
        std::optional<std::string> previous_value_;
        std::uint64_t previous_version_ = 0;
    };
    struct watch {
        std::string key_;
        std::uint64_t above_ = 0;
        json_server::responder respond_;
        std::unique_ptr<boost::asio::steady_timer> timer_;
    };
    using query = std::map<std::string, std::string>;

    void serve(const control_request& request, const json_server::responder& respond);
    control_reply get(const std::string& key);
    control_reply list(const query& options);
    std::optional<control_reply> write(const std::string& key, const query& options,
                                       const control_request& request);
    control_reply apply_write(const std::string& key, const query& options,
                              const control_request& request);
    void start_watch(const std::string& key, const query& options,
                     const json_server::responder& respond);
    void wake_watches(const std::string& key);
    nlohmann::json visible_object(const std::string& key, const stored& object);
    bool happens(double probability) { return uniform_unit(random_) < probability; }

    boost::asio::io_context& io_;
    random_source random_;
    store_faults faults_;
    std::map<std::string, stored> objects_;
    std::uint64_t version_ = 0;
    std::map<std::uint64_t, watch> watches_; // by watch id
    std::uint64_t next_watch_ = 1;
    std::map<std::string, std::uint64_t> calls_;
    std::uint64_t writes_ = 0;
};

} // namespace savoryscale::standins
