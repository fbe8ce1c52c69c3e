#pragma once

#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/routing.hpp>
#include <dandeliontack/upstream_health.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliontack
{

/// How a worker's slots are shared, and the bound on its answers.
struct upstream_limits
{
    /// Among how many entry processes the slots are shared.
    std::uint64_t sharers = 1;
    /// Which of them this one is, from 0.
    std::uint64_t index = 0;
    /// Bytes of a response's body.
    std::uint64_t body_bytes = 16 * 1024 * 1024;
    /// Of the responses that are being read, if it is shared or bounded.
    std::shared_ptr<buffer_budget> budget;
};

/// Connections to upstreams and how many requests are under way at each.
class upstream_pool
{
public:
    /// The right to send one request to an upstream, and the connection for
    /// it. Gives both back when destroyed. The pool must outlive it.
    class lease
    {
    public:
        lease(lease&& other) noexcept;
        lease& operator=(lease&&) = delete;
        ~lease();

        http_connection& connection()
        {
            return *connection_;
        }
        const upstream& target() const
        {
            return target_;
        }
        /// Notes whether the upstream did its work.
        void report(bool well);
        /// Notes that the upstream asked for no new work.
        void report_leaving();

    private:
        friend class upstream_pool;
        lease(
            upstream_pool& pool, upstream target,
            std::unique_ptr<http_connection> connection);

        upstream_pool* pool_;
        upstream target_;
        std::unique_ptr<http_connection> connection_;
    };

    upstream_pool(
        boost::asio::any_io_executor executor, upstream_limits limits);

    /// Calls `freed` whenever a lease was given back.
    void on_freed(std::function<void()> freed);

    /// A lease on the healthy candidate with the fewest requests under way,
    /// or nothing where every slot of this process's share is taken. Where no
    /// candidate is healthy, all that aren't leaving count as healthy.
    std::optional<lease> acquire(const std::vector<upstream>& candidates);

    /// Requests under way at all upstreams.
    std::uint64_t in_flight() const;

private:
    struct peer
    {
        std::uint64_t in_flight = 0;
        std::vector<std::unique_ptr<http_connection>> idle;
    };

    using time_point = upstream_health::time_point;

    std::uint64_t
    limit_of(const upstream& target, bool any_healthy, time_point now) const;
    std::unique_ptr<http_connection> take_connection(const upstream& target);
    void give_back(
        const upstream& target, std::unique_ptr<http_connection> connection);

    boost::asio::any_io_executor executor_;
    upstream_limits limits_;
    std::function<void()> freed_;
    upstream_health health_;
    std::map<endpoint, peer> peers_;
    std::uint64_t turn_ = 0;
};

} // namespace dandeliontack
