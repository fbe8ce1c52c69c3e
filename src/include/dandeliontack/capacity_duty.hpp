#pragma once

#include <dandeliontack/control_node.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <vector>

namespace dandeliontack
{

/// Proposes what the planners decide for pools, waves, moves and jobs while
/// its node leads. Plans when hosts, jobs or configuration have changed, and
/// now and then besides, since some steps wait for time to pass.
class capacity_duty
{
public:
    /// `node` must outlive the duty.
    capacity_duty(
        boost::asio::any_io_executor executor, control_node& node,
        std::chrono::milliseconds interval);

    /// Runs until the node stops.
    boost::asio::awaitable<void> run();

private:
    bool is_due() const;
    void plan_once();

    boost::asio::any_io_executor executor_;
    control_node& node_;
    std::chrono::milliseconds interval_;
    /// Whether a record came that planning may depend on.
    bool changed_ = true;
    std::vector<listed_host> planned_hosts_;
    std::chrono::steady_clock::time_point planned_;
};

} // namespace dandeliontack
