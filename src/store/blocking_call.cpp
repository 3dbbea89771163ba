#include "store/blocking_call.hpp"

#include <future>
#include <utility>

namespace savoryscale::store {

object_reply call_and_wait(object_client& client, object_call call)
{
    std::promise<object_reply> promise;
    call.done_ = [&promise](object_reply reply) { promise.set_value(std::move(reply)); };
    auto answer = promise.get_future();
    client.submit(std::move(call));
    return answer.get();
}

host_list_reply fetch_and_wait(host_list_client& client, duration timeout)
{
    std::promise<host_list_reply> promise;
    auto answer = promise.get_future();
    client.fetch(timeout,
                 [&promise](host_list_reply reply) { promise.set_value(std::move(reply)); });
    return answer.get();
}

} // namespace savoryscale::store
