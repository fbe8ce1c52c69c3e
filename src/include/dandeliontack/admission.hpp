#pragma once

#include <dandeliontack/request_class.hpp>
#include <dandeliontack/request_queue.hpp>
#include <dandeliontack/routing.hpp>
#include <dandeliontack/upstream_pool.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// Why a request got no slot.
enum class admission_refusal
{
    queue_full,
    /// It would not have got one before its deadline, or did not.
    too_late
};

using admission_result = std::variant<upstream_pool::lease, admission_refusal>;

/// Lets requests wait for a slot at an upstream, one queue for each service.
/// Runs on one executor with one thread.
class admission
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    /// The upstreams of a service now.
    using candidates_function =
        std::function<const std::vector<upstream>&(const service_key&)>;

    /// `pool` must outlive the object, and must not be told of another
    /// listener for freed leases. `queue_limit` bounds each class of a queue.
    admission(
        boost::asio::any_io_executor executor, upstream_pool& pool,
        std::size_t queue_limit, candidates_function candidates);

    /// Waits for a lease until `deadline` at most.
    boost::asio::awaitable<admission_result>
    admit(service_key service, request_class of, time_point deadline);

    /// Gives what is free to those that wait. To be called when upstreams
    /// have come.
    void dispatch();

private:
    struct waiter;
    struct service_queue
    {
        explicit service_queue(std::size_t limit) : order(limit) {}

        request_queue order;
        std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
        time_point last_free{};
        /// Moving mean of the time between two slots that become free.
        std::chrono::nanoseconds slot_interval{};
    };

    void dispatch(const service_key& service, service_queue& queue);
    static void note_free_slot(service_queue& queue);

    boost::asio::any_io_executor executor_;
    upstream_pool& pool_;
    std::size_t queue_limit_;
    candidates_function candidates_;
    std::map<service_key, service_queue> queues_;
    std::uint64_t last_id_ = 0;
};

} // namespace dandeliontack
