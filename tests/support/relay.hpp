#pragma once

// A TCP relay on loopback that can silence its connections: established ones stay open but forward
// nothing, while new ones work.

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace savoryscale::tests {

// What the relay does to the path that it stands for.
enum class path_cut : std::uint8_t {
    none,
    silent,     // nothing passes, on open connections and on new ones
    reset,      // open connections are closed and new ones refused
    refuse_new, // open connections live on
};

class relay {
public:
    // Listens on a free port of 127.0.0.1 and forwards each connection to `to_port` there.
    explicit relay(std::uint16_t to_port);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    relay(relay&&) = delete;
    relay& operator=(relay&&) = delete;
    ~relay();

    std::uint16_t port() const { return port_; }

    // Connections accepted so far.
    int accepted() const { return accepted_; }

    void set_cut(path_cut cut);

    // Stops forwarding on the connections that are open now, without closing them.
    void silence_open_connections();

private:
    struct pair {
        int client_ = -1;
        int server_ = -1;
        bool silent_ = false;
    };

    void run();
    void accept_one();
    void open_listener();

    int reservation_ = -1; // bound and never listening: no other process gets the port
    int listener_ = -1;    // none while new connections are refused
    std::uint16_t port_ = 0;
    std::uint16_t to_port_ = 0;
    std::atomic<int> accepted_{0};
    std::atomic<bool> stopping_{false};
    path_cut cut_ = path_cut::none;
    std::mutex mutex_;
    std::vector<pair> pairs_;
    std::thread thread_;
};

} // namespace savoryscale::tests
