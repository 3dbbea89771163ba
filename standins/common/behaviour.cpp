#include "common/behaviour.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace savoryscale::standins {

namespace {

struct number_field {
    std::string_view name_;
    double behaviour::*member_;
};

struct fault_field {
    std::string_view name_;
    double fault_rates::*member_;
    fault fault_;
};

struct count_field {
    std::string_view name_;
    std::uint32_t behaviour::*member_;
};

constexpr std::array count_fields{
    count_field{"slots", &behaviour::slots_},
    count_field{"queue_limit", &behaviour::queue_limit_},
};

constexpr std::array number_fields{
    number_field{"service_us", &behaviour::service_us_},
    number_field{"service_spread", &behaviour::service_spread_},
    number_field{"slow_factor", &behaviour::slow_factor_},
    number_field{"noise_factor", &behaviour::noise_factor_},
    number_field{"noise_on_ms", &behaviour::noise_on_ms_},
    number_field{"noise_off_ms", &behaviour::noise_off_ms_},
    number_field{"cold_factor", &behaviour::cold_factor_},
    number_field{"cold_ms", &behaviour::cold_ms_},
    number_field{"open_us", &behaviour::open_us_},
    number_field{"load_lag_ms", &behaviour::load_lag_ms_},
    number_field{"load_factor", &behaviour::load_factor_},
    number_field{"health_lag_ms", &behaviour::health_lag_ms_},
    number_field{"stall_ms", &behaviour::stall_ms_},
    number_field{"late_ms", &behaviour::late_ms_},
    number_field{"down_ms", &behaviour::down_ms_},
    number_field{"drain_idle_ms", &behaviour::drain_idle_ms_},
    number_field{"upload_bytes_per_s", &behaviour::upload_bytes_per_s_},
    number_field{"download_bytes_per_s", &behaviour::download_bytes_per_s_},
};

constexpr std::array fault_fields{
    fault_field{"stall", &fault_rates::stall_, fault::stall},
    fault_field{"truncate", &fault_rates::truncate_, fault::truncate},
    fault_field{"twice", &fault_rates::twice_, fault::twice},
    fault_field{"late", &fault_rates::late_, fault::late},
    fault_field{"surplus", &fault_rates::surplus_, fault::surplus},
    fault_field{"silence", &fault_rates::silence_, fault::silence},
    fault_field{"fail_fast", &fault_rates::fail_fast_, fault::fail_fast},
    fault_field{"shed", &fault_rates::shed_, fault::shed},
};

// Sets the field called `name`; returns false if there is none.
bool set_field(behaviour& changed, std::string_view name, double value)
{
    for (const auto& field : count_fields) {
        if (field.name_ == name) {
            changed.*field.member_ = static_cast<std::uint32_t>(value);
            return true;
        }
    }
    for (const auto& field : number_fields) {
        if (field.name_ == name) {
            changed.*field.member_ = value;
            return true;
        }
    }
    for (const auto& field : fault_fields) {
        if (field.name_ == name) {
            changed.faults_.*field.member_ = value;
            return true;
        }
    }
    return false;
}

} // namespace

fault draw_fault(const fault_rates& rates, random_source& random)
{
    double left = uniform_unit(random);
    for (const auto& field : fault_fields) {
        left -= rates.*field.member_;
        if (left < 0) {
            return field.fault_;
        }
    }
    return fault::none;
}

result<behaviour> with_changes(const behaviour& current, const nlohmann::json& changes)
{
    behaviour changed = current;
    if (!changes.is_object()) {
        return tl::unexpected{error{error_kind::invalid, "behaviour", "not a JSON object",
                                    "write {\"name\": number}"}};
    }
    for (const auto& [name, value] : changes.items()) {
        if (!value.is_number() || value.get<double>() < 0 ||
            !set_field(changed, name, value.get<double>())) {
            return tl::unexpected{error{error_kind::invalid, "behaviour/" + name,
                                        "unknown name, or not a number of at least 0",
                                        "use a member of standins/common/behaviour.hpp"}};
        }
    }
    return changed;
}

} // namespace savoryscale::standins
