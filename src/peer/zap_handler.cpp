#include "peer/zap_handler.hpp"

#include <zmq_addon.hpp>

#include <array>
#include <iterator>

namespace savoryscale::peer {

namespace {

constexpr std::size_t key_bytes = 32;

// Frames of a request: version, request id, domain, address, identity, mechanism, key.
constexpr std::size_t request_id_frame = 1;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t key_frame = 6;

} // namespace

zap_handler::zap_handler(zmq::context_t& context, const std::vector<std::string>& trusted)
    : socket_{context, zmq::socket_type::rep}
{
    for (const std::string& key : trusted) {
        std::array<std::uint8_t, key_bytes> binary{};
        if (zmq_z85_decode(binary.data(), key.c_str()) != nullptr) {
            trusted_.emplace(binary.begin(), binary.end());
        }
    }
    socket_.bind("inproc://zeromq.zap.01");
}

std::size_t zap_handler::answer()
{
    std::size_t count = 0;
    bool refused = false;
    while (answer_one(refused)) {
        count += refused ? 1 : 0;
    }
    return count;
}

bool zap_handler::answer_one(bool& refused)
{
    std::vector<zmq::message_t> request;
    if (!zmq::recv_multipart(socket_, std::back_inserter(request), zmq::recv_flags::dontwait)) {
        return false;
    }
    const bool complete = request.size() > key_frame;
    refused = !complete || request[mechanism_frame].to_string_view() != "CURVE" ||
              trusted_.count(request[key_frame].to_string()) == 0;
    const std::string id = complete ? request[request_id_frame].to_string() : "";
    const std::array<zmq::const_buffer, 6> reply{
        zmq::str_buffer("1.0"),
        zmq::buffer(id),
        refused ? zmq::const_buffer{zmq::str_buffer("400")} : zmq::str_buffer("200"),
        refused ? zmq::const_buffer{zmq::str_buffer("key not trusted")} : zmq::str_buffer("OK"),
        zmq::str_buffer(""),
        zmq::str_buffer("")};
    zmq::send_multipart(socket_, reply);
    return true;
}

} // namespace savoryscale::peer
