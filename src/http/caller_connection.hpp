#pragma once

// A caller's connection: reads requests one at a time and writes their answers.

#include "admission/holder.hpp"
#include "base/clock.hpp"
#include "http/event_loop.hpp"
#include "http/head_text.hpp"
#include "http/message_reader.hpp"
#include "http/socket.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::http {

class http_task;
class proxied_call;

class caller_connection final : public socket_handler {
public:
    // `is_host`: another entry host, which hands on requests of its callers.
    caller_connection(http_task& owner, socket& stream, bool is_host);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    // Write the answer to the current request in pieces.
    void begin_answer(answer_head head);
    void answer_body(std::string_view bytes);
    void end_answer();

    // Writes an answer that this process generates for the current request.
    void answer_locally(local_answer answer);

    // Closes immediately, so that the caller sees that the answer is incomplete.
    void close_abruptly();

    // Address of the caller, without its port.
    [[nodiscard]] std::string_view ip() const;

    [[nodiscard]] bool is_host() const { return is_host_; }

    // Bytes of the answer that the kernel has not accepted yet.
    [[nodiscard]] std::size_t queued() const;

    // Memory that the connection and its call hold.
    [[nodiscard]] std::size_t held_bytes() const;

    // The same, when it was last added to the account of the host.
    [[nodiscard]] std::size_t accounted_bytes() const { return accounted_bytes_; }
    void set_accounted_bytes(std::size_t bytes) { accounted_bytes_ = bytes; }

    // What the connection waits for, since when.
    [[nodiscard]] admission::holder_phase phase() const;
    [[nodiscard]] time_point progress_at() const { return progress_at_; }

    // Ends what the connection holds, since the host is short of room: as not run where it can.
    void give_way();

    void pause_reading();
    void resume_reading();

    // Sends 100 Continue to a caller that waits for it before sending the body.
    void send_continue();

    // Called when the host stops. Closes an idle connection, after an answer to any request that
    // may be in transit; a busy connection closes after its answer.
    void stop();

    // Called now and then during a stop that ends the process: ends what would be cut off.
    void on_host_stopping();

    // Whether a request is being read or answered.
    [[nodiscard]] bool is_busy() const;

    void on_data(std::string_view bytes) override;
    void on_drained() override;
    void on_closed() override;

private:
    void read_request(std::string_view bytes);
    void account();
    void start_call();
    void reject_malformed(const error& parse_error);
    void end_call();
    void begin_next();
    void set_activity_deadline(duration within);
    void shorten_activity_deadline(duration within);
    void on_activity_timer();
    [[nodiscard]] bool is_last_answer() const;
    void close_idle();
    void close_gracefully();

    http_task& http_task_;
    socket* stream_;
    message_reader<request_head> reader_;
    std::unique_ptr<proxied_call> call_;
    const bool is_host_;
    bool answer_chunked_ = false;
    bool close_after_answer_ = false;
    bool is_head_request_ = false;
    bool request_ended_ = false;
    bool header_started_ = false;
    bool awaits_drain_ = false; // the caller must read earlier answers before its next request
    bool had_request_ = false;  // since the connection was opened
    std::size_t accounted_bytes_ = 0;
    time_point progress_at_{};
    time_point activity_deadline_{};
    timer_id activity_timer_ = 0;
};

} // namespace savoryscale::http
