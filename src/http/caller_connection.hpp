#pragma once

// One connection of a caller: reads requests one after another, and writes their answers.

#include "base/clock.hpp"
#include "http/event_loop.hpp"
#include "http/head_text.hpp"
#include "http/message_reader.hpp"
#include "http/socket.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::http {

class front;
class proxied_call;

class caller_connection final : public socket_handler {
public:
    caller_connection(front& owner, socket& stream);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    // The answer to the present request, in pieces. `close` ends the connection after it.
    void begin_answer(answer_head head);
    void answer_body(std::string_view bytes);
    void end_answer();

    // The answer to the present request, made here.
    void answer_locally(local_answer answer);

    // Closes at once, so that the caller sees that the answer is incomplete.
    void break_off();

    // Bytes of the answer that the kernel has not taken.
    [[nodiscard]] std::size_t queued() const;

    void pause_reading();
    void resume_reading();

    // The caller waits for leave to send its body.
    void send_continue();

    // The host is stopping: an idle connection is ended, with an answer for a request that may be
    // on its way; a busy one ends after its answer.
    void stop();

    // Whether a request is being read or answered.
    [[nodiscard]] bool is_busy() const;

    void on_data(std::string_view bytes) override;
    void on_drained() override;
    void on_closed() override;

private:
    void read_on(std::string_view bytes);
    void start_call();
    void refuse_malformed(const error& fault);
    void finish_answer();
    void expect_activity(duration within);
    void check_activity();
    void end_idle();
    void leave();

    front& front_;
    socket* stream_;
    message_reader<request_head> reader_;
    std::unique_ptr<proxied_call> call_;
    std::string body_; // decoded request body of the read in progress
    bool answer_chunked_ = false;
    bool answer_close_ = false;
    bool head_request_ = false;
    bool request_ended_ = false;
    bool header_started_ = false;
    time_point activity_due_{};
    timer_id activity_timer_ = 0;
};

} // namespace savoryscale::http
