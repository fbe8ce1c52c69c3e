#include <dandeliontack/departure_watch.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

void departure_watch::expect(const listed_machine& machine)
{
    hosts_.try_emplace(machine.host, known_host{machine, 0, {}, {}});
}

void departure_watch::observe(
    const std::vector<listed_machine>& machines, const host_boots& known)
{
    for (auto& [id, host] : hosts_)
    {
        ++host.missed;
        if (const auto boot = known.find(id); boot != known.end())
            host.newest_boot = boot->second;
        std::ranges::rotate(host.boots, host.boots.begin() + 1);
        host.boots.back() = host.newest_boot;
    }
    std::erase_if(hosts_, [](const auto& item) {
        return item.second.missed > lists_to_forget;
    });
    for (const auto& machine : machines)
        if (!machine.host.empty())
        {
            auto& host = hosts_[machine.host];
            host.machine = machine;
            host.missed = 0;
            if (const auto boot = known.find(machine.host); boot != known.end())
                host.newest_boot = boot->second;
        }
}

std::vector<departed_host> departure_watch::departed() const
{
    std::vector<departed_host> out;
    for (const auto& [id, host] : hosts_)
        if (host.missed >= lists_to_confirm && host.boots.front())
            out.push_back({host.machine, *host.boots.front()});
    return out;
}

bool departure_watch::is_unconfirmed() const
{
    return std::ranges::any_of(
        hosts_ | std::views::values, [](const known_host& host) {
            return host.missed > 0 && host.missed < lists_to_confirm;
        });
}

void departure_watch::forget(const std::string& host)
{
    hosts_.erase(host);
}

} // namespace dandeliontack
