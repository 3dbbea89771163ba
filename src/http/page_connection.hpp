#pragma once

// A connection of a page_server. It handles short requests one at a time: the next request is
// served when the previous one has been answered and its answer sent.

#include "base/clock.hpp"
#include "http/message_reader.hpp"
#include "http/socket.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::http {

class page_server;
struct page;

class page_connection final : public socket_handler {
public:
    page_connection(page_server& owner, socket& stream);
    ~page_connection();
    page_connection(const page_connection&) = delete;
    page_connection& operator=(const page_connection&) = delete;
    page_connection(page_connection&&) = delete;
    page_connection& operator=(page_connection&&) = delete;

    void on_data(std::string_view bytes) override;
    void on_drained() override;
    void on_closed() override;

    // Whether no request is being answered.
    [[nodiscard]] bool is_idle() const;

    // Since when the connection has made no progress.
    [[nodiscard]] time_point progress_at() const { return progress_at_; }

    // Bytes of an answer that the peer has not read.
    [[nodiscard]] std::size_t unread_bytes() const { return unread_bytes_; }

    void close_abruptly();

private:
    void serve_next();
    void answer(const page& content);
    void close_gracefully();
    void drop_unread();

    page_server& server_;
    socket* stream_;
    std::shared_ptr<page_connection*> self_; // lets replies detect that the connection has ended
    bool request_in_progress_ = false;       // a request has not been answered yet
    bool keep_alive_ = true;
    std::size_t unread_bytes_ = 0;
    time_point progress_at_;
    message_reader<request_head> reader_;
    std::string body_; // request bodies; ignored
};

} // namespace savoryscale::http
