#include <dandeliontack/departure_watch.hpp>

namespace dandeliontack
{

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

void departure_watch::forget(const std::string& host)
{
    hosts_.erase(host);
}

} // namespace dandeliontack
