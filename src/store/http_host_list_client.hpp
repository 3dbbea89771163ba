#pragma once

// The host list over plain HTTP and JSON: GET /v1/hosts answers 200 with {"hosts": [{"id", "kind":
// "entry" or "target", "service", "data_centre", "ip", "port", "incarnation", "leaving"}...]}.

#include "store/host_list.hpp"
#include "store/http_caller.hpp"

#include <atomic>
#include <cstddef>
#include <vector>

namespace savoryscale::store {

// Reads the answer. Anything but a whole list of the protocol is unknown; fields that are not known
// are let pass.
host_list_reply parse_host_list(const http_answer& answer);

class http_host_list_client final : public host_list_client {
public:
    // `addresses` must not be empty; after a failure the next one is used.
    explicit http_host_list_client(std::vector<settings::endpoint> addresses);

    void fetch(duration timeout, std::function<void(host_list_reply)> done) override;

private:
    std::vector<settings::endpoint> addresses_;
    std::atomic<std::size_t> next_address_ = 0;
    http_caller caller_; // last: its thread uses the members above
};

} // namespace savoryscale::store
