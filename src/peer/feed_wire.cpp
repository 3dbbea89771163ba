#include "peer/feed_wire.hpp"

#include "admission/quarantine.hpp"
#include "directory/feed.hpp"
#include "directory/stored_object.hpp"
#include "directory/target_entry.hpp"
#include "peer/compression.hpp"
#include "peer/feed.pb.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

namespace savoryscale::peer {

namespace {

using std::chrono::milliseconds;

// Values in the store are at most one megabyte.
constexpr std::size_t desired_state_max_bytes = std::size_t{2} << 20U;
constexpr int targets_max = 20'000;
constexpr int emptied_max = 1000;
constexpr std::uint32_t suspicion_lifetime_max_s = 3600;

// Longer times make no difference to readers.
constexpr milliseconds time_max{3'600'000};

error invalid(std::string what)
{
    return {error_kind::invalid, "directory feed", std::move(what),
            "check that all entry hosts run compatible releases"};
}

std::uint32_t clamped_ms(duration time)
{
    const auto rounded = std::chrono::duration_cast<milliseconds>(time);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(rounded.count(), 0, time_max.count()));
}

void write_target(const directory::feed_target& target, wire::Target& out)
{
    const directory::target_entry& entry = target.entry_;
    out.set_id(entry.id_);
    out.set_gone(target.gone_);
    if (target.gone_) {
        return;
    }
    out.set_service(entry.service_);
    out.set_ip(entry.address_.ip_);
    out.set_port(entry.address_.port_);
    out.set_data_centre(entry.data_centre_);
    out.set_slots(entry.slots_);
    out.set_leaving(entry.leaving_);
    out.set_warm_up_ms(clamped_ms(entry.warm_up_));
    out.set_born_ms(entry.born_ms_);
}

std::optional<directory::feed_target> read_target(const wire::Target& in)
{
    directory::feed_target target;
    directory::target_entry& entry = target.entry_;
    entry.id_ = in.id();
    target.gone_ = in.gone();
    if (in.port() > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    entry.service_ = in.service();
    entry.address_ = {in.ip(), static_cast<std::uint16_t>(in.port())};
    entry.data_centre_ = in.data_centre();
    entry.slots_ = in.slots();
    entry.leaving_ = in.leaving();
    entry.warm_up_ = std::min(milliseconds{in.warm_up_ms()}, time_max);
    entry.born_ms_ = in.born_ms();
    const bool valid = target.gone_ ? directory::is_target_id(entry.id_) : is_valid(entry);
    return valid ? std::optional{std::move(target)} : std::nullopt;
}

// Skips suspicions that cannot be read: they must not keep the directory from being followed.
std::vector<fact> read_suspicions(const wire::FeedPage& in)
{
    std::vector<fact> all;
    for (const wire::Suspicion& each : in.suspicions()) {
        fact suspicion{fact_kind::suspicion, each.request(), 0, each.crashes(),
                       std::min(each.lifetime_s(), suspicion_lifetime_max_s)};
        if (all.size() < directory::feed_suspicions_max && admission::is_valid(suspicion)) {
            all.push_back(std::move(suspicion));
        }
    }
    return all;
}

// A list with a name that cannot be read is not used: the reader follows the store instead.
std::optional<directory::emptied_data_centres> read_emptied(const wire::FeedPage& in)
{
    if (!in.has_emptied() || in.emptied().names_size() > emptied_max) {
        return std::nullopt;
    }
    directory::emptied_data_centres emptied;
    for (const std::string& name : in.emptied().names()) {
        if (name.empty() || name.size() > directory::name_max_bytes) {
            return std::nullopt;
        }
        emptied.names_.push_back(name);
    }
    std::sort(emptied.names_.begin(), emptied.names_.end());
    emptied.age_ = milliseconds{in.emptied().age_ms()};
    emptied.revision_ = in.emptied().revision();
    return emptied;
}

result<std::string> read_document(const wire::FeedPage& in)
{
    if (in.desired_state().size() > desired_state_max_bytes ||
        in.plain_bytes() > desired_state_max_bytes) {
        return tl::unexpected(invalid("the desired state exceeds the size limit"));
    }
    if (in.plain_bytes() == 0) {
        return in.desired_state();
    }
    auto plain = decompress(in.desired_state(), in.plain_bytes());
    if (!plain) {
        return tl::unexpected(invalid("the desired state does not decompress to its stated size"));
    }
    return std::move(*plain);
}

} // namespace

std::string write_feed_page(const directory::feed_page& page)
{
    wire::FeedPage out;
    out.set_epoch(page.epoch_);
    out.set_sequence(page.sequence_);
    out.set_whole(page.complete_);
    out.set_age_ms(clamped_ms(page.age_));
    if (page.contact_) {
        out.mutable_contact()->set_begun_ms(clamped_ms(page.contact_->begun_));
        out.mutable_contact()->set_confirmed_ms(clamped_ms(page.contact_->confirmed_));
    }
    out.set_store_era(page.store_era_);
    out.set_targets_revision(page.targets_revision_);
    out.set_configuration_revision(page.configuration_revision_);
    for (const directory::feed_target& target : page.targets_) {
        write_target(target, *out.add_targets());
    }
    for (const fact& suspicion : page.suspicions_) {
        wire::Suspicion& written = *out.add_suspicions();
        written.set_request(suspicion.subject_);
        written.set_crashes(suspicion.payload_);
        written.set_lifetime_s(suspicion.lifetime_s_);
    }
    if (page.emptied_) {
        wire::EmptiedDataCentres& written = *out.mutable_emptied();
        for (const std::string& name : page.emptied_->names_) {
            written.add_names(name);
        }
        written.set_age_ms(clamped_ms(page.emptied_->age_));
        written.set_revision(page.emptied_->revision_);
    }
    out.set_version(page.version_);
    if (page.document_.size() < compress_min_bytes) {
        out.set_desired_state(page.document_);
    }
    else {
        out.set_desired_state(compress(page.document_));
        out.set_plain_bytes(static_cast<std::uint32_t>(page.document_.size()));
    }
    return out.SerializeAsString();
}

result<directory::feed_page> read_feed_page(std::string_view bytes)
{
    wire::FeedPage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(invalid("the bytes do not parse as a feed page"));
    }
    if (in.targets_size() > targets_max) {
        return tl::unexpected(invalid("the number of targets exceeds the limit"));
    }
    auto document = read_document(in);
    if (!document) {
        return tl::unexpected(document.error());
    }
    directory::feed_page page;
    page.epoch_ = in.epoch();
    page.sequence_ = in.sequence();
    page.complete_ = in.whole();
    page.store_era_ = in.store_era();
    page.age_ = milliseconds{in.age_ms()};
    if (in.has_contact() && in.contact().begun_ms() >= in.contact().confirmed_ms()) {
        page.contact_ = {std::min(milliseconds{in.contact().begun_ms()}, time_max),
                         std::min(milliseconds{in.contact().confirmed_ms()}, time_max)};
    }
    page.targets_revision_ = in.targets_revision();
    page.configuration_revision_ = in.configuration_revision();
    page.version_ = in.version();
    page.document_ = std::move(*document);
    page.suspicions_ = read_suspicions(in);
    page.emptied_ = read_emptied(in);
    for (const wire::Target& each : in.targets()) {
        if (auto target = read_target(each)) {
            page.targets_.push_back(std::move(*target));
        }
        else {
            page.rejected_targets_.push_back(each.id().substr(0, directory::name_max_bytes));
        }
    }
    return page;
}

} // namespace savoryscale::peer
