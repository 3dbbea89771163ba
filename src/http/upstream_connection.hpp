#pragma once

// One connection to a target. It carries one exchange at a time; anything the target sends outside
// of an exchange, or beyond its answer, makes the connection unusable.

#include "base/clock.hpp"
#include "http/message_reader.hpp"
#include "http/socket.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::http {

class connection_pool;
class upstream_exchange;

class upstream_connection final : public socket_handler {
public:
    // A spare is opened ahead of need, without an exchange.
    upstream_connection(connection_pool& pool, time_point now, bool spare);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;
    upstream_connection(upstream_connection&&) = delete;
    upstream_connection& operator=(upstream_connection&&) = delete;

    // Takes ownership of the stream's events. Called once by the pool.
    void attach(socket* stream) { stream_ = stream; }

    // Gives the connection to an exchange; on_ready follows at once when it is open.
    void assign(upstream_exchange* exchange);

    // Sends bytes of the request. `without_body`: the request is a HEAD.
    void send_head(std::string_view text, bool without_body);
    void send_body(std::string_view text);

    // The whole request has been passed to send_*.
    void request_ended() { request_ended_ = true; }

    // Bytes not yet taken by the kernel.
    [[nodiscard]] std::size_t queued() const;

    // Whether any byte of the present request may have left this host.
    [[nodiscard]] bool request_left() const;

    void pause_reading();
    void resume_reading();

    // Ends the exchange and closes the connection; the exchange hears nothing more.
    void abandon();

    // Closes the stream; nothing is heard of it any more. For the pool.
    void shut();

    [[nodiscard]] bool is_open() const { return open_; }
    [[nodiscard]] bool is_spare() const { return spare_; }

    // When an answer, or the opening, last proved that both directions work.
    [[nodiscard]] time_point last_proof() const { return last_proof_; }

    void on_connected() override;
    void on_data(std::string_view bytes) override;
    void on_drained() override;
    void on_closed() override;

private:
    void deliver();
    void skip();
    void complete();
    void fail();

    connection_pool& pool_;
    socket* stream_ = nullptr;
    upstream_exchange* exchange_ = nullptr;
    message_reader<answer_head> reader_;
    std::string body_; // decoded bytes of the call in progress, reused between calls
    time_point last_proof_;
    std::uint64_t written_before_ = 0; // bytes written when the exchange began
    bool spare_;
    bool open_ = false;
    bool head_delivered_ = false;
    bool skipping_ = false; // the answer being read belongs to an earlier request
    bool head_sent_ = false;
    bool request_ended_ = false;
    bool head_request_ = false;
};

} // namespace savoryscale::http
