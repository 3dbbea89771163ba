#pragma once

// A Beast body that compares the bytes read with the content that the caller expects.

#include "common/content.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>

namespace savoryscale::standins {

struct checked_body {
    struct value_type {
        std::uint64_t seed_ = 0;
        std::uint64_t size_ = 0;    // bytes read
        bool is_content_ = true;    // whether all of them are the content of seed_
        std::string first_bytes_{}; // for answers with other bodies, such as those to commits
    };

    class reader {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& value)
            : value_{value}
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::beast::error_code& failure)
        {
            failure = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& failure)
        {
            constexpr std::size_t kept_bytes = 1024;
            failure = {};
            std::size_t count = 0;
            for (const auto piece : boost::beast::buffers_range_ref(buffers)) {
                const std::span text{static_cast<const char*>(piece.data()), piece.size()};
                value_.is_content_ =
                    value_.is_content_ && is_content(value_.seed_, value_.size_, text);
                const std::size_t room = kept_bytes - value_.first_bytes_.size();
                value_.first_bytes_.append(text.data(), std::min(room, text.size()));
                value_.size_ += text.size();
                count += text.size();
            }
            return count;
        }

        void finish(boost::beast::error_code& failure) { failure = {}; }

    private:
        value_type& value_;
    };
};

} // namespace savoryscale::standins
