#pragma once

// One connection of a page_server: short requests, one after another.

#include "http/message_reader.hpp"
#include "http/socket.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

class page_server;

class page_connection final : public socket_handler {
public:
    page_connection(page_server& owner, socket& stream);
    ~page_connection();
    page_connection(const page_connection&) = delete;
    page_connection& operator=(const page_connection&) = delete;
    page_connection(page_connection&&) = delete;
    page_connection& operator=(page_connection&&) = delete;

    void on_data(std::string_view bytes) override;
    void on_closed() override;

private:
    void answer();
    void leave();

    page_server& server_;
    socket* stream_;
    message_reader<request_head> reader_;
    std::string body_; // of requests; not looked at
};

} // namespace savoryscale::http
