#pragma once

// The question of the command `explain`, as a path that a running host answers, and its answer.

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::http {

class http_task;

inline constexpr std::string_view explain_path_prefix = "/explain?";

// A request that is not sent. An organisation is named in place of a key, which has no place in a
// path or log.
struct explained_request {
    std::string host_; // of the Host header
    std::string path_;
    std::string organisation_; // empty: without a key

    friend bool operator==(const explained_request&, const explained_request&) = default;
};

std::string write_explain_path(const explained_request&);
std::optional<explained_request> read_explain_path(std::string_view path);

// What the host would do with the request now, as JSON. Changes nothing.
std::string explain(http_task& task, const explained_request& asked);

// The same in words, one line a fact. None: the text is not such JSON.
std::optional<std::string> describe_explanation(std::string_view json);

} // namespace savoryscale::http
