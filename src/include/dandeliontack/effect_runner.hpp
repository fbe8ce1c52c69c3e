#pragma once

#include <dandeliontack/control_node.hpp>
#include <dandeliontack/platform_commands.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace dandeliontack
{

/// Tells the platform what the state wants of hosts while its node leads, and
/// records how far its node has applied departures. Works from the state, not
/// from single effects, so that a new leader sends again whatever its
/// predecessor may have left undone; the platform drops second copies.
class effect_runner
{
public:
    /// All references must outlive the runner.
    effect_runner(
        boost::asio::any_io_executor executor, control_node& node,
        platform_commands& platform, std::chrono::milliseconds interval);

    /// Runs until the node stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> send_commands();
    boost::asio::awaitable<void> send(host_command command);
    void acknowledge_departures();

    boost::asio::any_io_executor executor_;
    control_node& node_;
    platform_commands& platform_;
    std::chrono::milliseconds interval_;
    part_log out_;
    /// The offset of the last command of each host that the platform took.
    std::map<std::string, std::uint64_t> taken_;
    std::uint64_t acknowledged_ = 0;
};

} // namespace dandeliontack
