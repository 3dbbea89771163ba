#include "common/check_result.hpp"

namespace savoryscale::standins {

namespace {

constexpr std::size_t examples_max = 10;

} // namespace

check_result check_totals(const load_totals& totals,
                          const std::unordered_map<std::string, commit_count>& counted)
{
    check_result found;
    found.wrong_ =
        totals.surplus_ + totals.attempt_ends_[static_cast<std::size_t>(call_end::wrong)];
    for (const auto& [id, record] : totals.commits_) {
        const auto at = counted.find(id);
        const commit_count runs = at == counted.end() ? commit_count{} : at->second;
        const std::uint32_t may_have_run = record.attempts_ - record.not_run_answers_;
        const bool twice = runs.started_ > 1;
        const bool false_not_run = record.not_run_answers_ > 0 && runs.started_ > may_have_run;
        const bool never_ran = record.acknowledged_ && runs.ran_ == 0;
        found.twice_ += twice ? 1 : 0;
        found.false_not_run_ += false_not_run ? 1 : 0;
        found.never_ran_ += never_ran ? 1 : 0;
        if ((twice || false_not_run || never_ran) && found.examples_.size() < examples_max) {
            found.examples_.push_back(id);
        }
    }
    return found;
}

} // namespace savoryscale::standins
