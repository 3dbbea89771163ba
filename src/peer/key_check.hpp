#pragma once

// Answers ZeroMQ's authentication requests (ZAP): a client is let in when its CURVE key is trusted.

#include <zmq.hpp>

#include <set>
#include <string>
#include <vector>

namespace savoryscale::peer {

class key_check {
public:
    // Must be made before the sockets that it guards. Keys are Z85.
    key_check(zmq::context_t& context, const std::vector<std::string>& trusted);

    zmq::socket_ref socket() { return socket_; }

    // Answers all waiting requests; returns how many were refused.
    std::size_t answer();

private:
    bool answer_one(bool& refused);

    std::set<std::string> trusted_; // binary
    zmq::socket_t socket_;
};

} // namespace savoryscale::peer
