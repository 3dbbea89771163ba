#pragma once

// Handler of the ZeroMQ Authentication Protocol (ZAP): accepts clients with a trusted CURVE key.

#include <zmq.hpp>

#include <set>
#include <string>
#include <vector>

namespace savoryscale::peer {

class zap_handler {
public:
    // Must be constructed before the sockets that it authenticates. Keys are in Z85.
    zap_handler(zmq::context_t& context, const std::vector<std::string>& trusted);

    zmq::socket_ref socket() { return socket_; }

    // Answers all pending requests and returns the number refused.
    std::size_t answer();

private:
    bool answer_one(bool& refused);

    std::set<std::string> trusted_; // binary
    zmq::socket_t socket_;
};

} // namespace savoryscale::peer
