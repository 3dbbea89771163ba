#include "peer/peer_task.hpp"

#include "peer/exchange.hpp"
#include "peer/wire.hpp"
#include "peer/zap_handler.hpp"

#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>

namespace savoryscale::peer {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr int queue_messages = 256;   // per link and direction
constexpr int reconnect_min_ms = 200; // after a failed connection; doubles with each attempt
constexpr int reconnect_max_ms = 5000;
constexpr int handshake_timeout_ms = 3000;
constexpr std::size_t key_characters = 40;

std::string url(const settings::endpoint& address)
{
    return fmt::format("tcp://{}:{}", address.ip_, address.port_);
}

void set_common_options(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_messages);
    socket.set(zmq::sockopt::rcvhwm, queue_messages);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_message_bytes));
    socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
}

// Returns this host's key, which is always trusted, followed by the trusted keys of the settings.
std::vector<std::string> all_trusted(const settings::peer_exchange& exchange)
{
    std::vector<std::string> keys{exchange.public_key_};
    keys.insert(keys.end(), exchange.trusted_keys_.begin(), exchange.trusted_keys_.end());
    return keys;
}

// A link opened by this host.
struct outgoing_link {
    peer_address to_;
    zmq::socket_t socket_;
    std::string peer_; // empty until the peer has answered
    time_point last_received_;
    time_point next_heartbeat_;
    std::size_t attempt_ = 0;
};

// A link opened by a peer.
struct incoming_link {
    std::string peer_;
    time_point last_received_;
};

} // namespace

// State used only by the task's thread.
class peer_task::loop {
public:
    explicit loop(peer_task& task)
        : task_{task},
          random_{std::random_device{}()},
          zap_handler_{context_, all_trusted(task.settings_.exchange_)},
          listener_{context_, zmq::socket_type::router}
    {
        exchange_settings settings;
        settings.host_id_ = task.settings_.host_id_;
        exchange_ = make_exchange(settings, monotonic_now(), random_);
    }

    settings::endpoint bind()
    {
        const settings::peer_exchange& exchange = task_.settings_.exchange_;
        set_common_options(listener_);
        listener_.set(zmq::sockopt::zap_domain, "peer");
        listener_.set(zmq::sockopt::curve_server, true);
        listener_.set(zmq::sockopt::curve_secretkey, exchange.secret_key_);
        settings::endpoint bound = exchange.address_;
        const std::string port = bound.port_ == 0 ? "*" : std::to_string(bound.port_);
        listener_.bind(fmt::format("tcp://{}:{}", bound.ip_, port));
        const std::string name = listener_.get(zmq::sockopt::last_endpoint);
        bound.port_ = static_cast<std::uint16_t>(std::stoul(name.substr(name.rfind(':') + 1)));
        return bound;
    }

    void run()
    {
        while (!task_.stopping_) {
            wait();
            const time_point now = monotonic_now();
            clear_wake_fd();
            task_.counters_.untrusted_refused_ += zap_handler_.answer();
            handle_commands(now);
            read_listener(now);
            read_outgoing(now);
            maintain_links(now);
            carry_out(tick(exchange_, now, random_));
        }
    }

private:
    void wait()
    {
        std::vector<zmq::pollitem_t> items{{nullptr, task_.wake_fd_, ZMQ_POLLIN, 0},
                                           {zap_handler_.socket().handle(), 0, ZMQ_POLLIN, 0},
                                           {listener_.handle(), 0, ZMQ_POLLIN, 0}};
        for (auto& [name, link] : outgoing_) {
            items.push_back({link.socket_.handle(), 0, ZMQ_POLLIN, 0});
        }
        zmq::poll(items, tick_period);
    }

    void clear_wake_fd() const
    {
        eventfd_t count = 0;
        eventfd_read(task_.wake_fd_, &count);
    }

    void handle_commands(time_point now)
    {
        for (peer_command& command : task_.commands_.take()) {
            if (const auto* update = std::get_if<publish_fact>(&command)) {
                carry_out(publish(exchange_, update->fact_, now, random_));
            }
            else if (const auto* links = std::get_if<set_links>(&command)) {
                change_links(links->links_, now);
            }
            else if (const auto* share = std::get_if<send_share>(&command)) {
                send_share_message(*share);
            }
        }
    }

    void change_links(const std::vector<peer_address>& wanted, time_point now)
    {
        std::map<std::string, peer_address> by_url;
        for (const peer_address& each : wanted) {
            by_url.emplace(url(each.address_), each);
        }
        std::erase_if(outgoing_, [&](const auto& link) { return by_url.count(link.first) == 0; });
        for (const auto& [name, to] : by_url) {
            const auto it = outgoing_.find(name);
            if (it == outgoing_.end()) {
                open_link(name, to, 0, now);
            }
            else if (!to.public_key_.empty()) {
                it->second.to_.public_key_ = to.public_key_;
            }
        }
    }

    // The key for this attempt: the peer's key first if known, then the trusted keys in turn, in
    // case that key is wrong.
    std::string key_for(const peer_address& to, std::size_t attempt) const
    {
        std::vector<std::string> keys = all_trusted(task_.settings_.exchange_);
        if (!to.public_key_.empty()) {
            keys.insert(keys.begin(), to.public_key_);
        }
        return keys[attempt % keys.size()];
    }

    void open_link(const std::string& name, const peer_address& to, std::size_t attempt,
                   time_point now)
    {
        const settings::peer_exchange& exchange = task_.settings_.exchange_;
        zmq::socket_t socket{context_, zmq::socket_type::dealer};
        set_common_options(socket);
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_min_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
        socket.set(zmq::sockopt::curve_publickey, exchange.public_key_);
        socket.set(zmq::sockopt::curve_secretkey, exchange.secret_key_);
        socket.set(zmq::sockopt::curve_serverkey, key_for(to, attempt));
        socket.connect(name);
        outgoing_.insert_or_assign(name,
                                   outgoing_link{to, std::move(socket), "", now, now, attempt});
    }

    void read_listener(time_point now)
    {
        std::vector<zmq::message_t> frames;
        while (
            zmq::recv_multipart(listener_, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
            if (frames.size() == 2) {
                const std::string route = frames[0].to_string();
                if (const auto received = parse(frames[1])) {
                    incoming_[route] = {received->sender_, now};
                    handle(*received, now,
                           [&](const message& reply) { send_on_incoming(route, encode(reply)); });
                }
            }
            frames.clear();
        }
    }

    void read_outgoing(time_point now)
    {
        for (auto& [name, link] : outgoing_) {
            zmq::message_t bytes;
            while (link.socket_.recv(bytes, zmq::recv_flags::dontwait)) {
                if (const auto received = parse(bytes)) {
                    link.peer_ = received->sender_;
                    link.last_received_ = now;
                    handle(*received, now, [](const message&) {});
                }
            }
        }
    }

    std::optional<message> parse(const zmq::message_t& bytes)
    {
        task_.counters_.bytes_received_ += bytes.size();
        ++task_.counters_.messages_received_;
        result<message> received = parse_message(bytes.to_string_view());
        if (!received) {
            ++task_.counters_.messages_refused_;
            return {};
        }
        return std::move(*received);
    }

    template<class Reply>
    void handle(const message& received, time_point now, Reply&& reply)
    {
        if (received.sender_ == task_.settings_.host_id_) {
            return; // a link to this host itself, from a seed with its own address
        }
        mark_linked(received.sender_);
        if (received.kind_ == message_kind::heartbeat) {
            message answer;
            answer.kind_ = message_kind::heartbeat_reply;
            answer.sender_ = task_.settings_.host_id_;
            reply(answer);
        }
        else if (received.kind_ == message_kind::share_request ||
                 received.kind_ == message_kind::share_grant) {
            task_.sink_(share_received{received.sender_, received.kind_, received.share_});
        }
        else {
            carry_out(receive(exchange_, received, now, random_));
        }
    }

    void mark_linked(const std::string& peer)
    {
        if (exchange_.peers_.count(peer) > 0) {
            return;
        }
        link_peer(exchange_, peer, is_remote(peer));
        task_.counters_.linked_peers_ = exchange_.peers_.size();
        task_.sink_(peer_linked{peer, true});
    }

    bool is_remote(const std::string& peer) const
    {
        const fact* host_fact = find(exchange_.table_, {fact_kind::host, peer});
        if (host_fact == nullptr) {
            return false;
        }
        const result<host_state> state = parse_host_state(host_fact->payload_);
        return state && state->data_centre_ != task_.settings_.data_centre_;
    }

    // Closes or reopens silent links, sends heartbeats, and reports peers without a link.
    void maintain_links(time_point now)
    {
        const duration silence_timeout = task_.settings_.silence_timeout_;
        std::erase_if(incoming_, [&](const auto& link) {
            return now - link.second.last_received_ >= silence_timeout;
        });
        std::vector<std::string> silent;
        for (auto& [name, link] : outgoing_) {
            if (now - link.last_received_ >= silence_timeout) {
                silent.push_back(name);
            }
            else if (now >= link.next_heartbeat_) {
                send_heartbeat(link, now);
            }
        }
        for (const std::string& name : silent) {
            const outgoing_link& link = outgoing_.at(name);
            ++task_.counters_.links_reopened_;
            open_link(name, peer_address{link.to_}, link.attempt_ + 1, now);
        }
        remove_unlinked_peers();
    }

    void send_heartbeat(outgoing_link& link, time_point now)
    {
        message heartbeat_message;
        heartbeat_message.kind_ = message_kind::heartbeat;
        heartbeat_message.sender_ = task_.settings_.host_id_;
        link.next_heartbeat_ = now + task_.settings_.heartbeat_period_;
        send_on_outgoing(link, encode(heartbeat_message));
    }

    void remove_unlinked_peers()
    {
        std::vector<std::string> unlinked;
        for (const auto& [peer, linked] : exchange_.peers_) {
            if (outgoing_link_to(peer) == nullptr && incoming_route_of(peer) == nullptr) {
                unlinked.push_back(peer);
            }
        }
        for (const std::string& peer : unlinked) {
            unlink_peer(exchange_, peer);
            task_.counters_.linked_peers_ = exchange_.peers_.size();
            task_.sink_(peer_linked{peer, false});
        }
    }

    outgoing_link* outgoing_link_to(const std::string& peer)
    {
        const auto it = std::find_if(outgoing_.begin(), outgoing_.end(),
                                     [&](const auto& link) { return link.second.peer_ == peer; });
        return it == outgoing_.end() ? nullptr : &it->second;
    }

    const std::string* incoming_route_of(const std::string& peer) const
    {
        const auto it = std::find_if(incoming_.begin(), incoming_.end(),
                                     [&](const auto& link) { return link.second.peer_ == peer; });
        return it == incoming_.end() ? nullptr : &it->first;
    }

    void carry_out(const exchange_actions& actions)
    {
        for (const fact& each : actions.learned_) {
            if (each.kind_ == fact_kind::host && exchange_.peers_.count(each.subject_) > 0) {
                link_peer(exchange_, each.subject_, is_remote(each.subject_));
            }
            task_.sink_(fact_learned{each});
        }
        for (const fact& each : actions.expired_) {
            task_.sink_(fact_expired{each});
        }
        for (const outgoing_message& each : actions.send_) {
            send_to(each.peer_, each.message_);
        }
    }

    void send_share_message(const send_share& command)
    {
        std::string peer = command.peer_;
        if (peer.empty() && !exchange_.peers_.empty()) {
            const std::size_t pick = uniform_below(random_, exchange_.peers_.size());
            peer = std::next(exchange_.peers_.begin(), static_cast<std::ptrdiff_t>(pick))->first;
        }
        message sent;
        sent.kind_ = command.kind_;
        sent.sender_ = task_.settings_.host_id_;
        sent.share_ = command.share_;
        send_to(peer, sent);
    }

    void send_to(const std::string& peer, const message& sent)
    {
        const std::string bytes = encode(sent);
        if (outgoing_link* link = outgoing_link_to(peer)) {
            send_on_outgoing(*link, bytes);
        }
        else if (const std::string* route = incoming_route_of(peer)) {
            send_on_incoming(*route, bytes);
        }
        else {
            ++task_.counters_.messages_dropped_;
        }
    }

    void send_on_outgoing(outgoing_link& link, const std::string& bytes)
    {
        count(link.socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value(), bytes);
    }

    void send_on_incoming(const std::string& route, const std::string& bytes)
    {
        const auto flags = zmq::send_flags::dontwait;
        const bool sent =
            listener_.send(zmq::buffer(route), flags | zmq::send_flags::sndmore).has_value() &&
            listener_.send(zmq::buffer(bytes), flags).has_value();
        count(sent, bytes);
    }

    void count(bool sent, const std::string& bytes)
    {
        if (!sent) {
            ++task_.counters_.messages_dropped_;
            return;
        }
        ++task_.counters_.messages_sent_;
        task_.counters_.bytes_sent_ += bytes.size();
        charge(exchange_, bytes.size());
    }

    peer_task& task_;
    random_source random_;
    zmq::context_t context_;
    zap_handler zap_handler_;
    zmq::socket_t listener_;
    std::map<std::string, outgoing_link> outgoing_; // by URL
    std::map<std::string, incoming_link> incoming_; // by the ROUTER socket's routing id
    exchange exchange_;
};

peer_task::peer_task(peer_task_settings settings, std::function<void(peer_event)> sink)
    : settings_{std::move(settings)},
      sink_{std::move(sink)},
      wake_fd_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    commands_.set_wake([this] { eventfd_write(wake_fd_, 1); });
}

peer_task::~peer_task()
{
    stopping_ = true;
    eventfd_write(wake_fd_, 1);
    if (thread_.joinable()) {
        thread_.join();
    }
    loop_.reset();
    close(wake_fd_);
}

result<settings::endpoint> peer_task::start()
{
    const settings::peer_exchange& exchange = settings_.exchange_;
    if (exchange.public_key_.size() != key_characters ||
        exchange.secret_key_.size() != key_characters) {
        return tl::unexpected{error{error_kind::invalid, "/peer",
                                    "the length of a CURVE key is not 40 characters",
                                    "generate a key pair, for example with zmq_curve_keypair"}};
    }
    try {
        loop_ = std::make_unique<loop>(*this);
        const settings::endpoint bound = loop_->bind();
        thread_ = std::thread{[this] { loop_->run(); }};
        return bound;
    }
    catch (const zmq::error_t& failure) {
        return tl::unexpected{
            error{error_kind::unavailable, url(exchange.address_), failure.what(),
                  "stop the process that uses the address, or change /peer/address"}};
    }
}

void peer_task::post(peer_command command)
{
    commands_.post(std::move(command));
}

} // namespace savoryscale::peer
