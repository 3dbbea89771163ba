#pragma once

// A Beast body that keeps only the size and digest of the bytes read.

#include "common/content.hpp"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string_view>

namespace savoryscale::standins {

struct digest_body {
    // Size in bytes and FNV-1a digest of the body.
    struct value_type {
        std::uint64_t size_ = 0;
        std::uint64_t digest_ = fnv_basis;
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
            failure = {};
            std::size_t count = 0;
            for (const auto piece : boost::beast::buffers_range_ref(buffers)) {
                const std::string_view text{static_cast<const char*>(piece.data()), piece.size()};
                value_.digest_ = fnv(text, value_.digest_);
                count += piece.size();
            }
            value_.size_ += count;
            return count;
        }

        void finish(boost::beast::error_code& failure) { failure = {}; }

    private:
        value_type& value_;
    };
};

} // namespace savoryscale::standins
