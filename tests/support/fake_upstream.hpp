#pragma once

// An upstream on loopback whose behaviour is scripted at byte level.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace savoryscale::testing {

// One accepted connection with blocking calls.
class script_connection {
public:
    explicit script_connection(int descriptor) : descriptor_{descriptor} {}

    // Reads the next complete request, head and body. Returns the incomplete rest, which may be
    // empty, if the peer closed.
    std::string read_request();
    void send(std::string_view bytes);
    // Sends `bytes` again and again until the peer closes or `at_most` bytes are sent. Returns the
    // number of bytes sent.
    std::size_t send_endlessly(std::string_view bytes, std::size_t at_most);
    // Closes the connection. Later calls do nothing.
    void close();
    // Resets the connection after 20 ms, so that the peer can read first. Later calls do nothing.
    void reset();
    // Waits until the peer closes.
    void wait_for_close();

private:
    int descriptor_;
    std::string pending_;
};

// Runs `script` for each connection on a separate thread. `number` counts connections from 0.
class fake_upstream {
public:
    using script = std::function<void(script_connection& connection, int number)>;

    // `receive_bytes` sets the size of the kernel's receive buffers; 0 keeps the default.
    explicit fake_upstream(script run, int receive_bytes = 0);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] int connections() const { return count_; }

    // Refuses connections from now on.
    void stop_accepting();

    // Refuses connections from now on and closes the open ones. For a single caller.
    void crash();

private:
    void accept_all();

    script run_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> count_ = 0;
    std::mutex mutex_;
    std::vector<int> descriptors_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

// A blocking client connection to loopback.
class test_client {
public:
    // `receive_bytes` sets the size of the kernel's receive buffer; 0 keeps the default. `host` is
    // the last byte of the client's own address, 127.0.0.HOST.
    explicit test_client(std::uint16_t port, int receive_bytes = 0, std::uint8_t host = 1);
    ~test_client();
    test_client(const test_client&) = delete;
    test_client& operator=(const test_client&) = delete;

    void send(std::string_view bytes);
    // Reads one complete answer, with the body as framed. Returns the part received so far if the
    // peer closed early.
    std::string read_answer();
    // Reads everything until the peer closes.
    std::string read_to_end();
    // Ends the connection in both directions; a send in progress returns.
    void shut_down();

private:
    int descriptor_;
    std::string pending_;
};

// A 200 answer with the body and extra header lines ("Name: value\r\n" each).
std::string ok_answer(std::string_view body, std::string_view fields = {});

} // namespace savoryscale::testing
