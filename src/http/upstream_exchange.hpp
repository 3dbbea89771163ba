#pragma once

// One request and its answer on one upstream connection.

#include "http/head.hpp"

#include <cstdint>
#include <string_view>

namespace savoryscale::http {

class upstream_connection;

// How an exchange ended without a complete answer.
enum class exchange_failure : std::uint8_t {
    unsent,  // no byte of the request left this host
    refused, // the same, and the target refused the connection
    broken,  // the connection closed or the answer was malformed after bytes had left
};

// Interface of the user of a connection during one exchange. After on_answer_complete or on_failed
// it must not use the connection any more.
class upstream_exchange {
public:
    // The connection is open and assigned to this exchange: send the request.
    virtual void on_ready(upstream_connection& connection) = 0;
    // Returns false when the answer belongs to an earlier request; it is then skipped, and the next
    // one is awaited.
    virtual bool on_answer_head(const answer_head& head) = 0;
    virtual void on_answer_body(std::string_view bytes) = 0;
    virtual void on_answer_complete() = 0;
    virtual void on_failed(exchange_failure failure) = 0;
    virtual void on_drained() {} // the kernel has accepted everything written

    upstream_exchange(const upstream_exchange&) = delete;
    upstream_exchange& operator=(const upstream_exchange&) = delete;
    upstream_exchange(upstream_exchange&&) = delete;
    upstream_exchange& operator=(upstream_exchange&&) = delete;

protected:
    upstream_exchange() = default;
    ~upstream_exchange() = default;
};

} // namespace savoryscale::http
