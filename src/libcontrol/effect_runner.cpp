#include <dandeliontack/effect_runner.hpp>
#include <dandeliontack/fleet_budget.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace dandeliontack
{

namespace asio = boost::asio;

effect_runner::effect_runner(
    asio::any_io_executor executor, control_node& node,
    platform_commands& platform, std::chrono::milliseconds interval)
    : executor_(std::move(executor)),
      node_(node),
      platform_(platform),
      interval_(interval),
      out_("control.effects")
{}

asio::awaitable<void> effect_runner::run()
{
    asio::steady_timer timer(executor_);
    for (;;)
    {
        acknowledge_departures();
        co_await send_commands();
        timer.expires_after(interval_);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> effect_runner::send_commands()
{
    std::vector<host_command> due;
    for (const auto& [name, host] : node_.current().fleet.hosts)
    {
        auto command = command_for(name, host);
        const auto taken = taken_.find(name);
        if (command &&
            (taken == taken_.end() || taken->second < command->offset))
            due.push_back(std::move(*command));
    }
    for (auto& command : due)
    {
        // The node may have lost its lead while the last call was under way.
        if (!node_.leads())
            co_return;
        co_await send(std::move(command));
    }
}

asio::awaitable<void> effect_runner::send(host_command command)
{
    const auto result = co_await platform_.send(command);
    if (const auto* unknown = std::get_if<command_unknown>(&result))
    {
        out_.debug(
            "Telling ", command.host, " to ", command.action,
            " failed: ", unknown->reason, ".");
        co_return;
    }
    // A fenced command is an old one, so it isn't sent again either.
    taken_[command.host] = command.offset;
    out_.info("The platform took ", command.action, " ", command.host, ".");
}

void effect_runner::acknowledge_departures()
{
    const auto& s = node_.current();
    const bool awaited =
        std::ranges::any_of(s.fleet.hosts, [&](const auto& item) {
            const auto& host = item.second;
            return host.purpose == disruption::move &&
                   host.phase == host_phase::joining &&
                   host.offset >= acknowledged_;
        });
    if (!awaited || !node_.ready() || node_.backlog() != 0)
        return;
    acknowledged_ = s.order.system_end;
    node_.propose_as_member(fleet_event{departures_applied{acknowledged_}});
}

} // namespace dandeliontack
