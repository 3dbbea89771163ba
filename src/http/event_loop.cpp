#include "http/event_loop.hpp"

#include "http/socket.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <numeric>

namespace savoryscale::http {

namespace {

constexpr const char* protocol_name = "savoryscale-raw";
constexpr unsigned int read_buffer_bytes = 65536;

// Descriptors for listeners, the wake-up pipe and libwebsockets itself.
constexpr unsigned int reserved_descriptors = 64;

// From this part of free sockets on, connections that are being closed give way to new ones.
constexpr std::size_t room_fraction = 8;

void init_library()
{
    static const bool done = [] {
        lws_set_log_level(0, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return true;
    }();
    (void)done;
}

} // namespace

// A listening socket that this process opens itself, because libwebsockets closes the accepted
// connections together with a listener that it created. The vhost holds the certificate.
struct event_loop::listener {
    lws_vhost* vhost_ = nullptr;
    lws* wsi_ = nullptr; // the listening descriptor, adopted as a raw file; nullptr when closed
    int descriptor_ = -1;
    bool tls_ = false;
    accept_function accept_;
    std::string last_peer_ip_; // of the connection accepted last
    std::string certificate_file_;
    std::string key_file_;
};

// The libwebsockets timer. `entry_` is the first member, so that the timer's callback can cast it
// back to the hook.
struct event_loop::timer_hook {
    lws_sorted_usec_list_t entry_{};
    event_loop* loop_ = nullptr;
};

namespace {

// A listening socket and the port it is bound to.
struct listening_socket {
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

result<listening_socket> open_listening_socket(const settings::endpoint& address)
{
    const error listen_error{error_kind::unavailable, to_string(address), "cannot listen",
                             "check that the address is this host's and the port is free"};
    sockaddr_storage storage{};
    auto* generic = reinterpret_cast<sockaddr*>(&storage);
    auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    socklen_t length = sizeof *v4;
    if (::inet_pton(AF_INET, address.ip_.c_str(), &v4->sin_addr) == 1) {
        storage.ss_family = AF_INET;
        v4->sin_port = htons(address.port_);
    }
    else if (::inet_pton(AF_INET6, address.ip_.c_str(), &v6->sin6_addr) == 1) {
        storage.ss_family = AF_INET6;
        v6->sin6_port = htons(address.port_);
        length = sizeof *v6;
    }
    else {
        return tl::unexpected(listen_error);
    }
    const int descriptor =
        ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return tl::unexpected(listen_error);
    }
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (::bind(descriptor, generic, length) != 0 || ::listen(descriptor, SOMAXCONN) != 0) {
        ::close(descriptor);
        return tl::unexpected(listen_error);
    }
    length = sizeof storage;
    ::getsockname(descriptor, generic, &length);
    return listening_socket{descriptor, ntohs(v4->sin_port)}; // same offset for IPv4 and IPv6
}

// The address without its port; empty for other families than IPv4 and IPv6.
std::string ip_of(const sockaddr_storage& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const void* bytes = nullptr;
    if (address.ss_family == AF_INET) {
        bytes = &reinterpret_cast<const sockaddr_in&>(address).sin_addr;
    }
    else if (address.ss_family == AF_INET6) {
        bytes = &reinterpret_cast<const sockaddr_in6&>(address).sin6_addr;
    }
    const bool converted = bytes != nullptr && ::inet_ntop(address.ss_family, bytes, text.data(),
                                                           text.size()) != nullptr;
    return converted ? text.data() : std::string{};
}

int raw_callback(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* data, size_t length)
{
    return event_loop::callback(wsi, static_cast<int>(reason), data, length);
}

const std::array<lws_protocols, 2> protocols{{
    {protocol_name, raw_callback, 0, read_buffer_bytes, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

event_loop::event_loop() : hook_{std::make_unique<timer_hook>()}
{
    hook_->loop_ = this;
}

result<std::unique_ptr<event_loop>> event_loop::make(std::uint32_t max_sockets, tls_support tls)
{
    init_library();
    const std::uint64_t tls_option =
        tls == tls_support::yes ? std::uint64_t{LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT} : 0;

    std::unique_ptr<event_loop> loop{new event_loop};
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | tls_option;
    loop->max_sockets_ = max_sockets;
    info.fd_limit_per_thread = max_sockets + reserved_descriptors;
    info.pt_serv_buf_size = read_buffer_bytes;
    info.user = loop.get();
    loop->context_ = lws_create_context(&info);
    if (loop->context_ == nullptr) {
        return tl::unexpected(error{error_kind::internal, "event loop",
                                    "cannot create the libwebsockets context",
                                    "raise the limit on open files (ulimit -n)"});
    }

    lws_context_creation_info client{};
    client.port = CONTEXT_PORT_NO_LISTEN;
    client.protocols = protocols.data();
    client.vhost_name = "upstreams";
    client.options = tls_option;
    loop->client_vhost_ = lws_create_vhost(loop->context_, &client);
    if (loop->client_vhost_ == nullptr) {
        return tl::unexpected(error{error_kind::internal, "event loop",
                                    "cannot create the client vhost", "report this as a bug"});
    }
    return loop;
}

event_loop::~event_loop()
{
    closing_down_ = true;
    finishing_.clear();
    if (context_ != nullptr) {
        lws_context_destroy(context_);
    }
}

result<std::uint16_t> event_loop::listen(const settings::endpoint& address,
                                         const std::optional<settings::tls_identity>& tls,
                                         accept_function accept)
{
    auto entry = std::make_unique<listener>();
    entry->accept_ = std::move(accept);
    auto opened = open_listening_socket(address);
    if (!opened) {
        return tl::unexpected(opened.error());
    }

    const std::string name = fmt::format("listen-{}", listeners_.size());
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = protocols.data();
    info.vhost_name = name.c_str();
    info.user = entry.get();
    if (tls) {
        entry->tls_ = true;
        entry->certificate_file_ = tls->certificate_file_;
        entry->key_file_ = tls->key_file_;
        info.ssl_cert_filepath = entry->certificate_file_.c_str();
        info.ssl_private_key_filepath = entry->key_file_.c_str();
        info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
    entry->vhost_ = lws_create_vhost(context_, &info);
    if (entry->vhost_ == nullptr) {
        ::close(opened->descriptor_);
        return tl::unexpected(error{error_kind::invalid, "listen", "cannot set up TLS",
                                    "run 'savoryscale check' on the settings"});
    }
    entry->descriptor_ = opened->descriptor_;
    lws_sock_file_fd_type descriptor{};
    descriptor.filefd = opened->descriptor_;
    entry->wsi_ = lws_adopt_descriptor_vhost(entry->vhost_, LWS_ADOPT_RAW_FILE_DESC, descriptor,
                                             protocol_name, nullptr);
    if (entry->wsi_ == nullptr) {
        return tl::unexpected(error{error_kind::exhausted, "listen", "no file descriptor is free",
                                    "raise the limit on open files (ulimit -n)"});
    }
    listeners_.push_back(std::move(entry));
    return opened->port_;
}

// Closing the descriptor resets the connections in its backlog, so these are accepted first.
void event_loop::stop_listening()
{
    for (auto& entry : listeners_) {
        if (entry->wsi_ != nullptr) {
            accept_pending(*entry);
            lws_set_timeout(entry->wsi_, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
            entry->wsi_ = nullptr;
        }
    }
}

// Accepts every connection in the listener's backlog.
void event_loop::accept_pending(listener& entry)
{
    while (entry.wsi_ != nullptr) {
        lws_sock_file_fd_type descriptor{};
        sockaddr_storage peer{};
        socklen_t length = sizeof peer;
        descriptor.sockfd = ::accept4(entry.descriptor_, reinterpret_cast<sockaddr*>(&peer),
                                      &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor.sockfd < 0) {
            return;
        }
        // Connections of peers that do not read their last answers give way.
        if (sockets_.size() + max_sockets_ / room_fraction >= max_sockets_) {
            end_oldest_finishing(false);
        }
        entry.last_peer_ip_ = ip_of(peer);
        const int yes = 1;
        ::setsockopt(descriptor.sockfd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const int type = LWS_ADOPT_SOCKET | (entry.tls_ ? LWS_ADOPT_ALLOW_SSL : 0);
        lws_adopt_descriptor_vhost(entry.vhost_, static_cast<lws_adoption_type>(type), descriptor,
                                   protocol_name, nullptr);
    }
}

socket* event_loop::connect(const settings::endpoint& address, bool tls, socket_handler* handler)
{
    auto owned = std::make_unique<socket>(*this, handler);
    socket* opened = owned.get();
    sockets_.emplace(opened, std::move(owned));

    lws_client_connect_info info{};
    info.context = context_;
    info.vhost = client_vhost_;
    info.address = address.ip_.c_str();
    info.port = address.port_;
    info.host = address.ip_.c_str();
    info.path = "";
    info.method = "RAW";
    info.local_protocol_name = protocol_name;
    info.ssl_connection = tls ? LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK : 0;
    info.opaque_user_data = opened;
    info.pwsi = &opened->wsi_;
    // A failure during this call is reported by the return value, not to the handler.
    opened->handler_ = nullptr;
    if (lws_client_connect_via_info(&info) == nullptr) {
        sockets_.erase(opened);
        return nullptr;
    }
    opened->handler_ = handler;
    return opened;
}

timer_id event_loop::after(duration delay, std::function<void()> action)
{
    return at(now() + delay, std::move(action));
}

timer_id event_loop::at(time_point due, std::function<void()> action)
{
    const timer_id id = timers_.add(due, std::move(action));
    arm_timer();
    return id;
}

void event_loop::cancel(timer_id id)
{
    if (id != 0) {
        timers_.cancel(id);
    }
}

// Schedules a wake-up for the earliest timer. A cancelled timer still causes its wake-up, which is
// cheaper than rescheduling the libwebsockets timer on each cancellation.
void event_loop::arm_timer()
{
    const auto due = timers_.next_due();
    if (!due || (armed_for_ && *armed_for_ <= *due)) {
        return;
    }
    armed_for_ = due;
    const auto wait = std::chrono::ceil<std::chrono::microseconds>(*due - now());
    const auto run = [](lws_sorted_usec_list_t* entry) {
        event_loop* loop = reinterpret_cast<timer_hook*>(entry)->loop_;
        loop->armed_for_.reset();
        loop->timers_.run_due(loop->now());
        loop->flush();
        loop->arm_timer();
    };
    lws_sul_schedule(context_, 0, &hook_->entry_, run, std::max<std::int64_t>(wait.count(), 1));
}

void event_loop::run(std::function<void()> on_wake)
{
    on_wake_ = std::move(on_wake);
    while (!stopping_) {
        if (lws_service(context_, 0) < 0) {
            break;
        }
    }
}

void event_loop::wake()
{
    lws_cancel_service(context_);
}

void event_loop::stop()
{
    stopping_ = true;
    lws_cancel_service(context_);
}

time_point event_loop::now() const
{
    return monotonic_now();
}

void event_loop::flush_later(socket& stream)
{
    if (!stream.flush_queued_) {
        stream.flush_queued_ = true;
        to_flush_.push_back(&stream);
    }
}

// Writes the output of one event together and immediately, without waiting for a writable event.
void event_loop::flush()
{
    while (!to_flush_.empty()) {
        socket* stream = to_flush_.back();
        to_flush_.pop_back();
        stream->flush_queued_ = false;
        stream->handle_writable();
    }
}

std::size_t event_loop::finishing_bytes() const
{
    return std::accumulate(
        finishing_.begin(), finishing_.end(), std::size_t{0},
        [](std::size_t sum, const socket* stream) { return sum + stream->held_bytes(); });
}

bool event_loop::end_oldest_finishing(bool unread)
{
    const auto found =
        std::find_if(finishing_.begin(), finishing_.end(), [unread](const socket* stream) {
            return !stream->closing_ && (!unread || stream->queued() > 0);
        });
    if (found == finishing_.end()) {
        return false;
    }
    std::string{}.swap((*found)->output_);
    (*found)->sent_ = 0;
    (*found)->request_close();
    return true;
}

void event_loop::remove_socket(socket* closed)
{
    accepted_ -= closed->accepted_ ? 1 : 0;
    std::erase(to_flush_, closed);
    sockets_.erase(closed);
}

int event_loop::callback(lws* wsi, int reason, void* data, std::size_t length)
{
    lws_context* context = lws_get_context(wsi);
    auto* loop = static_cast<event_loop*>(lws_context_user(context));
    if (loop == nullptr || loop->context_ == nullptr) {
        return 0;
    }
    const int callback_result = loop->dispatch(wsi, reason, data, length);
    loop->flush();
    return callback_result;
}

int event_loop::handle_accepted(lws* wsi)
{
    auto* entry = static_cast<listener*>(lws_vhost_user(lws_get_vhost(wsi)));
    auto owned = std::make_unique<socket>(*this, nullptr);
    socket* accepted = owned.get();
    accepted->wsi_ = wsi;
    accepted->accepted_ = true;
    accepted->connected_ = true;
    ++accepted_;
    accepted->peer_ip_ = entry->last_peer_ip_;
    if (entry->tls_) { // adopted after the handshake, when another connection was accepted last
        sockaddr_storage peer{};
        socklen_t length = sizeof peer;
        ::getpeername(lws_get_socket_fd(wsi), reinterpret_cast<sockaddr*>(&peer), &length);
        accepted->peer_ip_ = ip_of(peer);
    }
    lws_set_opaque_user_data(wsi, accepted);
    sockets_.emplace(accepted, std::move(owned));
    accepted->set_handler(entry->accept_(*accepted));
    return accepted->handler_ == nullptr ? -1 : 0;
}

int event_loop::dispatch(lws* wsi, int reason, void* data, std::size_t length)
{
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
        if (on_wake_ && lws_get_vhost(wsi) == client_vhost_) {
            on_wake_();
        }
        return 0;
    }
    if (reason == LWS_CALLBACK_RAW_ADOPT) {
        return handle_accepted(wsi);
    }
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        accept_pending(*static_cast<listener*>(lws_vhost_user(lws_get_vhost(wsi))));
        return 0;
    }
    auto* target = static_cast<socket*>(lws_get_opaque_user_data(wsi));
    if (target == nullptr || sockets_.find(target) == sockets_.end()) {
        return 0;
    }
    if (closing_down_) {
        target->handler_ = nullptr;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        target->wsi_ = wsi;
        target->connected_ = true;
        if (target->queued() > 0) {
            flush_later(*target);
        }
        if (target->handler_ != nullptr) {
            target->handler_->on_connected();
        }
        break;
    case LWS_CALLBACK_RAW_RX:
        target->handle_data({static_cast<const char*>(data), length});
        break;
    case LWS_CALLBACK_RAW_WRITEABLE:
        target->handle_writable();
        break;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        target->handle_closed();
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        target->handle_closed();
        remove_socket(target);
        return 0;
    default:
        return 0;
    }
    return target->close_requested_ ? -1 : 0;
}

} // namespace savoryscale::http
