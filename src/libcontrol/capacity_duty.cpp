#include <dandeliontack/capacity_duty.hpp>
#include <dandeliontack/planner.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

std::chrono::sys_time<std::chrono::milliseconds> now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

capacity_duty::capacity_duty(
    asio::any_io_executor executor, control_node& node,
    std::chrono::milliseconds interval)
    : executor_(std::move(executor)), node_(node), interval_(interval)
{}

void capacity_duty::plan_once()
{
    const auto end = node_.current().order.system_end;
    if (!node_.leads() || node_.backlog() != 0 || end == planned_at_)
        return;
    const planning_input input{now(), node_.hosts()};
    auto proposals = plan_fleet(node_.current(), input);
    std::ranges::move(
        plan_jobs(node_.current(), input), std::back_inserter(proposals));
    // Without proposals the plan may change with the clock or the host list.
    planned_at_ = proposals.empty() ? 0 : end;
    for (auto& body : proposals)
        node_.propose(std::move(body));
}

asio::awaitable<void> capacity_duty::run()
{
    asio::steady_timer timer(executor_);
    for (;;)
    {
        plan_once();
        timer.expires_after(interval_);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace dandeliontack
