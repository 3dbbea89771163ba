#pragma once

// An in-process platform for tests. Each host has its own client, which can be made unavailable.

#include "store/host_list.hpp"
#include "store/object_client.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace savoryscale::tests {

// The objects shared by all clients. A watch is answered by the next write of its key.
class fake_store {
public:
    store::object_reply apply(const store::object_call& call)
    {
        std::vector<store::object_call> triggered;
        store::object_reply reply;
        {
            const std::lock_guard lock{mutex_};
            reply = apply_locked(call, triggered);
        }
        for (const store::object_call& each : triggered) {
            each.done_(apply(each));
        }
        return reply;
    }

    // Holds a watch until the key is written; answers at once if its version is already outdated.
    void watch(const store::object_call& call)
    {
        {
            const std::lock_guard lock{mutex_};
            const auto it = objects_.find(call.key_);
            if (it == objects_.end() || it->second.version_ <= call.expected_version_) {
                watches_.push_back(call);
                return;
            }
        }
        call.done_(apply(call));
    }

    void put(const std::string& key, const std::string& value)
    {
        store::object_call call;
        call.operation_ = store::operation::get;
        call.key_ = key;
        const store::object_reply old = apply(call);
        const bool exists = old.status_ == store::call_status::ok;
        call.operation_ = exists ? store::operation::update : store::operation::create;
        call.expected_version_ = exists ? old.objects_.front().version_ : 0;
        call.value_ = value;
        apply(call);
    }

    std::string value(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        const auto it = objects_.find(key);
        return it == objects_.end() ? "" : it->second.value_;
    }

private:
    store::object_reply apply_locked(const store::object_call& call,
                                     std::vector<store::object_call>& triggered)
    {
        using store::call_status;
        using store::operation;
        const auto it = objects_.find(call.key_);
        const bool reads = call.operation_ == operation::get || call.operation_ == operation::watch;
        if (reads) {
            return it == objects_.end() ? store::object_reply{call_status::not_found, {}}
                                        : store::object_reply{call_status::ok, {it->second}};
        }
        const std::uint64_t version = it == objects_.end() ? 0 : it->second.version_;
        const std::uint64_t expected =
            call.operation_ == operation::create ? 0 : call.expected_version_;
        if (version != expected) {
            return {call_status::conflict, {}};
        }
        objects_[call.key_] = {call.key_, call.value_, ++written_};
        for (auto each = watches_.begin(); each != watches_.end();) {
            if (each->key_ == call.key_) {
                triggered.push_back(*each);
                each = watches_.erase(each);
            }
            else {
                ++each;
            }
        }
        return {call_status::ok, {objects_[call.key_]}};
    }

    std::mutex mutex_;
    std::map<std::string, store::object> objects_;
    std::vector<store::object_call> watches_;
    std::uint64_t written_ = 0;
};

// One host's client of the store and the host list.
class fake_client final : public store::object_client, public store::host_list_client {
public:
    explicit fake_client(fake_store& store) : store_{store} {}

    void submit(store::object_call call) override
    {
        if (down_) {
            call.done_({store::call_status::unavailable, {}});
        }
        else if (call.operation_ == store::operation::watch) {
            store_.watch(call);
        }
        else {
            call.done_(store_.apply(call));
        }
    }

    void fetch(duration /*timeout*/, std::function<void(store::host_list_reply)> done) override
    {
        if (down_) {
            done({store::call_status::unavailable, {}});
            return;
        }
        const std::lock_guard lock{mutex_};
        done({store::call_status::ok, listed_});
    }

    void set_hosts(std::vector<store::listed_host> hosts)
    {
        const std::lock_guard lock{mutex_};
        listed_ = std::move(hosts);
    }

    std::atomic<bool> down_{false};

private:
    fake_store& store_;
    std::mutex mutex_;
    std::vector<store::listed_host> listed_;
};

} // namespace savoryscale::tests
