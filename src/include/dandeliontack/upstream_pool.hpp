#pragma once

#include <dandeliontack/http_connection.hpp>
#include <dandeliontack/routing.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliontack
{

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

    private:
        friend class upstream_pool;
        lease(
            upstream_pool& pool, upstream target,
            std::unique_ptr<http_connection> connection);

        upstream_pool* pool_;
        upstream target_;
        std::unique_ptr<http_connection> connection_;
    };

    /// `sharers` is among how many entry processes a worker's slots are
    /// shared; `body_limit` bounds a response's body, in bytes.
    upstream_pool(
        boost::asio::any_io_executor executor, std::uint64_t sharers,
        std::uint64_t body_limit);

    /// A lease on the candidate with the fewest requests under way, or
    /// nothing where every slot of this process's share is taken.
    std::optional<lease> acquire(const std::vector<upstream>& candidates);

    /// Requests under way at all upstreams.
    std::uint64_t in_flight() const;

private:
    struct peer
    {
        std::uint64_t in_flight = 0;
        std::vector<std::unique_ptr<http_connection>> idle;
    };

    std::uint64_t share_of(const upstream& target) const;
    void give_back(
        const upstream& target, std::unique_ptr<http_connection> connection);

    boost::asio::any_io_executor executor_;
    std::uint64_t sharers_;
    std::uint64_t body_limit_;
    std::map<endpoint, peer> peers_;
    std::uint64_t turn_ = 0;
};

} // namespace dandeliontack
