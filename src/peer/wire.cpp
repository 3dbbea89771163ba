#include "peer/wire.hpp"

#include "peer/compression.hpp"
#include "peer/peer.pb.h"

#include <limits>
#include <optional>

namespace savoryscale::peer {

namespace {

constexpr std::uint32_t protocol_version = 1;

error invalid(std::string what)
{
    return {error_kind::invalid, "peer message", std::move(what),
            "check that all entry hosts run compatible releases"};
}

void write_fact(const fact& value, wire::Fact& out)
{
    out.set_kind(static_cast<std::uint32_t>(value.kind_));
    out.set_subject(value.subject_);
    out.set_version(value.version_);
    out.set_lifetime_s(value.lifetime_s_);
    if (value.payload_.size() < compress_min_bytes) {
        out.set_payload(value.payload_);
        return;
    }
    out.set_payload(compress(value.payload_));
    out.set_plain_bytes(static_cast<std::uint32_t>(value.payload_.size()));
}

bool is_kind(std::uint32_t kind)
{
    return kind > 0 && kind <= std::numeric_limits<std::uint8_t>::max();
}

result<fact> read_fact(wire::Fact& in)
{
    if (!is_kind(in.kind()) || in.subject().size() > max_name_bytes) {
        return tl::unexpected{invalid("a fact has an invalid kind or subject")};
    }
    if (in.plain_bytes() > max_payload_bytes || in.payload().size() > max_payload_bytes) {
        return tl::unexpected{invalid("a payload exceeds the size limit")};
    }
    fact value{static_cast<fact_kind>(in.kind()), in.subject(), in.version(), {}, in.lifetime_s()};
    if (in.plain_bytes() == 0) {
        value.payload_ = std::move(*in.mutable_payload());
        return value;
    }
    std::optional<std::string> plain = decompress(in.payload(), in.plain_bytes());
    if (!plain) {
        return tl::unexpected{invalid("a payload does not decompress to its stated size")};
    }
    value.payload_ = std::move(*plain);
    return value;
}

void write_reference(const fact_reference& value, wire::FactReference& out)
{
    out.set_kind(static_cast<std::uint32_t>(value.key_.kind_));
    out.set_subject(value.key_.subject_);
    out.set_version(value.version_);
    out.set_payload_hash(value.payload_hash_);
}

result<fact_reference> read_reference(const wire::FactReference& in)
{
    if (!is_kind(in.kind()) || in.subject().size() > max_name_bytes) {
        return tl::unexpected{invalid("a reference has an invalid kind or subject")};
    }
    return fact_reference{
        {static_cast<fact_kind>(in.kind()), in.subject()}, in.version(), in.payload_hash()};
}

message_kind read_kind(std::uint32_t body)
{
    constexpr auto last = static_cast<std::uint32_t>(message_kind::share_grant);
    return body <= last ? static_cast<message_kind>(body) : message_kind::unknown;
}

// Checks that are possible before the facts and references are read.
std::optional<error> header_error(const wire::Message& in)
{
    if (in.protocol_version() == 0 || in.sender().empty() || in.sender().size() > max_name_bytes) {
        return invalid("the protocol version is missing or the sender is invalid");
    }
    if (static_cast<std::size_t>(in.facts_size()) > max_facts ||
        static_cast<std::size_t>(in.references_size()) > max_references) {
        return invalid("the number of facts or references exceeds the limit");
    }
    if (in.share().resource().size() > max_name_bytes) {
        return invalid("the resource name is too long");
    }
    if (read_kind(in.body()) == message_kind::digest &&
        static_cast<std::size_t>(in.bucket_hashes_size()) != digest_buckets) {
        return invalid("the digest has the wrong number of buckets");
    }
    return {};
}

bool parse_bounded(google::protobuf::MessageLite& out, std::string_view bytes)
{
    return bytes.size() <= max_message_bytes &&
           out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encode(const message& value)
{
    wire::Message out;
    out.set_protocol_version(protocol_version);
    out.set_sender(value.sender_);
    out.set_body(static_cast<std::uint32_t>(value.kind_));
    for (const fact& each : value.facts_) {
        write_fact(each, *out.add_facts());
    }
    for (const fact_reference& each : value.references_) {
        write_reference(each, *out.add_references());
    }
    if (value.kind_ == message_kind::digest) {
        for (const std::uint64_t hash : value.digest_) {
            out.add_bucket_hashes(hash);
        }
    }
    out.set_buckets(value.buckets_);
    if (!value.share_.resource_.empty()) {
        wire::Share& share = *out.mutable_share();
        share.set_resource(value.share_.resource_);
        share.set_nonce(value.share_.nonce_);
        share.set_amount(value.share_.amount_);
    }
    return out.SerializeAsString();
}

result<message> parse_message(std::string_view bytes)
{
    wire::Message in;
    if (!parse_bounded(in, bytes)) {
        return tl::unexpected{invalid("the bytes are too many or do not parse as a message")};
    }
    if (std::optional<error> failure = header_error(in)) {
        return tl::unexpected{std::move(*failure)};
    }
    message value;
    value.kind_ = read_kind(in.body());
    value.sender_ = in.sender();
    std::size_t plain_bytes = 0;
    for (wire::Fact& each : *in.mutable_facts()) {
        plain_bytes += each.plain_bytes();
        if (plain_bytes > 2 * max_payload_bytes) {
            return tl::unexpected{invalid("the payloads together exceed the size limit")};
        }
        result<fact> read = read_fact(each);
        if (!read) {
            return tl::unexpected{std::move(read.error())};
        }
        value.facts_.push_back(std::move(*read));
    }
    for (const wire::FactReference& each : in.references()) {
        result<fact_reference> read = read_reference(each);
        if (!read) {
            return tl::unexpected{std::move(read.error())};
        }
        value.references_.push_back(std::move(*read));
    }
    for (int i = 0; i < in.bucket_hashes_size() && i < static_cast<int>(digest_buckets); ++i) {
        value.digest_[static_cast<std::size_t>(i)] = in.bucket_hashes(i);
    }
    value.buckets_ = in.buckets();
    value.share_ = {in.share().resource(), in.share().nonce(), in.share().amount()};
    return value;
}

std::string encode(const host_state& value)
{
    wire::HostState out;
    out.set_data_centre(value.data_centre_);
    out.set_region(value.region_);
    out.set_ip(value.address_.ip_);
    out.set_port(value.address_.port_);
    out.set_public_key(value.public_key_);
    out.set_lists_version(value.lists_version_);
    out.set_ready(value.ready_);
    out.set_leaving(value.leaving_);
    out.set_watching(value.watching_);
    out.set_store_lost(value.store_lost_);
    return out.SerializeAsString();
}

result<host_state> parse_host_state(std::string_view bytes)
{
    wire::HostState in;
    if (!parse_bounded(in, bytes) || in.port() > std::numeric_limits<std::uint16_t>::max() ||
        in.data_centre().size() > max_name_bytes || in.region().size() > max_name_bytes ||
        in.ip().size() > max_name_bytes || in.public_key().size() > max_name_bytes) {
        return tl::unexpected{
            invalid("the host state does not parse or a field exceeds its limit")};
    }
    host_state value;
    value.data_centre_ = in.data_centre();
    value.region_ = in.region();
    value.address_ = {in.ip(), static_cast<std::uint16_t>(in.port())};
    value.public_key_ = in.public_key();
    value.lists_version_ = in.lists_version();
    value.ready_ = in.ready();
    value.leaving_ = in.leaving();
    value.watching_ = in.watching();
    value.store_lost_ = in.store_lost();
    return value;
}

std::string encode(const std::vector<store::listed_host>& hosts)
{
    wire::HostList out;
    for (const store::listed_host& each : hosts) {
        wire::ListedHost& listed = *out.add_hosts();
        listed.set_id(each.id_);
        listed.set_kind(static_cast<std::uint32_t>(each.kind_));
        listed.set_service(each.service_);
        listed.set_data_centre(each.data_centre_);
        listed.set_ip(each.address_.ip_);
        listed.set_port(each.address_.port_);
        listed.set_incarnation(each.incarnation_);
        listed.set_leaving(each.leaving_);
    }
    return out.SerializeAsString();
}

result<std::vector<store::listed_host>> parse_host_list(std::string_view bytes)
{
    wire::HostList in;
    if (!parse_bounded(in, bytes) || static_cast<std::size_t>(in.hosts_size()) > max_listed_hosts) {
        return tl::unexpected{invalid("the host list does not parse or has too many hosts")};
    }
    std::vector<store::listed_host> hosts;
    for (const wire::ListedHost& each : in.hosts()) {
        if (each.kind() > 1 || each.port() > std::numeric_limits<std::uint16_t>::max()) {
            continue; // a kind of a newer release, or an invalid port
        }
        hosts.push_back({each.id(),
                         static_cast<store::host_kind>(each.kind()),
                         each.service(),
                         each.data_centre(),
                         {each.ip(), static_cast<std::uint16_t>(each.port())},
                         each.incarnation(),
                         each.leaving()});
    }
    return hosts;
}

} // namespace savoryscale::peer
