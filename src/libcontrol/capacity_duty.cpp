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

// The longest time without a plan: some steps wait for time to pass.
constexpr auto longest_idle = std::chrono::seconds(1);

} // namespace

capacity_duty::capacity_duty(
    asio::any_io_executor executor, control_node& node,
    std::chrono::milliseconds interval)
    : executor_(std::move(executor)), node_(node), interval_(interval)
{
    node.on_applied([this](const event& e, const effects&) {
        changed_ = changed_ || !is_bookkeeping(e);
    });
}

bool capacity_duty::is_due() const
{
    return changed_ || node_.hosts() != planned_hosts_ ||
           std::chrono::steady_clock::now() - planned_ >= longest_idle;
}

void capacity_duty::plan_once()
{
    if (!node_.leads() || node_.backlog() != 0 || !is_due())
        return;
    changed_ = false;
    planned_hosts_ = node_.hosts();
    planned_ = std::chrono::steady_clock::now();
    const planning_input input{now(), planned_hosts_};
    auto proposals = plan_fleet(node_.current(), input);
    std::ranges::move(
        plan_jobs(node_.current(), input), std::back_inserter(proposals));
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
