#include <dandeliontack/departure_watch.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

void departure_watch::expect(const listed_machine& machine)
{
    hosts_.try_emplace(machine.host, known_host{machine, 0});
}

void departure_watch::observe(const std::vector<listed_machine>& machines)
{
    for (auto& [id, host] : hosts_)
        ++host.missed;
    std::erase_if(hosts_, [](const auto& item) {
        return item.second.missed > lists_to_forget;
    });
    for (const auto& machine : machines)
        if (!machine.host.empty())
            hosts_[machine.host] = {machine, 0};
}

std::vector<listed_machine> departure_watch::departed() const
{
    std::vector<listed_machine> out;
    for (const auto& [id, host] : hosts_)
        if (host.missed >= lists_to_confirm)
            out.push_back(host.machine);
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
