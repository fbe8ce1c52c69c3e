#pragma once

#include <dandeliontack/control_node.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace dandeliontack
{

/// Proposes what the planners decide for pools, waves, moves and jobs while
/// its node leads. Plans anew only when its last proposals were applied.
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
    void plan_once();

    boost::asio::any_io_executor executor_;
    control_node& node_;
    std::chrono::milliseconds interval_;
    /// The end of the system's stream when the last plan was made.
    std::uint64_t planned_at_ = 0;
};

} // namespace dandeliontack
