#pragma once

// One connection to a target. It carries one exchange at a time; bytes that the target sends
// outside of an exchange, or after its answer, make the connection unusable.

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
    // `spare`: opened in advance, without an exchange.
    upstream_connection(connection_pool& pool, time_point now, bool spare);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;
    upstream_connection(upstream_connection&&) = delete;
    upstream_connection& operator=(upstream_connection&&) = delete;

    // Sets the socket whose events this connection handles. Called once by the pool.
    void attach(socket* stream) { stream_ = stream; }

    // Assigns the connection to an exchange; on_ready follows at once if the connection is open.
    void assign(upstream_exchange* exchange);

    // Sends bytes of the request. `without_body`: the request is a HEAD.
    void send_head(std::string_view text, bool without_body);
    void send_body(std::string_view text);

    // Call when the complete request has been passed to send_head and send_body.
    void end_request() { request_ended_ = true; }

    // Bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t queued() const;

    // Memory for queued bytes.
    [[nodiscard]] std::size_t held_bytes() const;

    // Whether any byte of the current request may have left this host.
    [[nodiscard]] bool may_have_sent_request() const;

    void pause_reading();
    void resume_reading();

    // Ends the exchange and closes the connection; the exchange gets no further events.
    void abandon();

    // Closes the socket; no further events follow. For the pool.
    void close_socket();

    [[nodiscard]] bool is_open() const { return open_; }
    [[nodiscard]] bool is_spare() const { return spare_; }

    // When both directions were last known to work: at an answer, or when the connection opened.
    [[nodiscard]] time_point last_verified() const { return last_verified_; }

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
    std::string body_; // decoded answer body of the current read; kept to reuse its memory
    time_point last_verified_;
    std::uint64_t written_before_ = 0; // bytes written to the socket before the exchange
    bool spare_;
    bool open_ = false;
    bool head_delivered_ = false;
    bool skipping_ = false;         // the answer being read belongs to an earlier request
    int dropped_answers_ = 0;       // since the current request was assigned
    std::size_t skipped_bytes_ = 0; // of bodies of answers to earlier requests, likewise
    bool head_sent_ = false;
    bool request_ended_ = false;
    bool is_head_request_ = false;
};

} // namespace savoryscale::http
