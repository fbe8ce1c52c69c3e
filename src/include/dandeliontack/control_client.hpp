#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/routing.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace dandeliontack
{

/// Subscribes to a control process's routing table and subscribes again, with
/// backoff, whenever the stream ends.
class control_client
{
public:
    using table_handler = std::function<void(routing_table)>;
    using link_handler = std::function<void(bool connected)>;
    /// Gets the time at which the state was last known to be current, and the
    /// position that the last table still stands for.
    using confirmation_handler = std::function<void(
        std::chrono::steady_clock::time_point, const applied_position&)>;

    /// All handlers run on `executor`.
    control_client(
        boost::asio::any_io_executor executor, const endpoint& control,
        std::string node, table_handler on_table, link_handler on_link,
        confirmation_handler on_confirmation = {});
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    void start();
    /// Ends the subscription. No handler runs after this returns, but for
    /// those that the executor has queued already.
    void stop();

private:
    struct core;
    std::shared_ptr<core> core_;
};

} // namespace dandeliontack
