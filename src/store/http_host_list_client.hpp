#pragma once

// Reads the host list over plain HTTP and JSON. GET /v1/hosts returns 200 with {"hosts": [{"id",
// "kind": "entry" or "target", "service", "data_centre", "ip", "port", "incarnation",
// "leaving"}...]}.

#include "store/host_list.hpp"
#include "store/http_client.hpp"

#include <atomic>
#include <cstddef>
#include <vector>

namespace savoryscale::store {

// Parses the answer. The status is unknown if the body is not a list in the protocol's format, or
// no host of it can be read. Otherwise malformed hosts are counted and left out, since other
// programs write the list. Unknown fields are ignored.
host_list_reply parse_host_list(const http_answer& answer);

class http_host_list_client final : public host_list_client {
public:
    // `addresses` must not be empty. After a failure the next address is used.
    explicit http_host_list_client(std::vector<settings::endpoint> addresses);

    void fetch(duration timeout, std::function<void(host_list_reply)> done) override;

private:
    std::vector<settings::endpoint> addresses_;
    std::atomic<std::size_t> next_address_ = 0;
    http_client http_client_; // declared last: its thread uses the members above
};

} // namespace savoryscale::store
