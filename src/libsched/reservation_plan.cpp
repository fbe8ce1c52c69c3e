#include "host_outlook.hpp"
#include <dandeliontack/reservation_plan.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// A hold ends this much after the room was expected, and at least half of the
// expected wait after it.
constexpr auto min_tolerance = 100ms;

// A step for which no hosts were found gets no hold for this time.
constexpr auto retry_pause = 100ms;
constexpr std::string_view not_waiting = "step does not wait";
constexpr std::string_view host_lost = "host lost";
constexpr std::string_view too_late = "room expected too late";

// Empty if the hold goes on.
std::string_view
reason_to_end(const host_hold& hold, const host_outlook* outlook, boot_time now)
{
    if (!outlook)
        return host_lost;
    const auto ready = outlook->fits_from(hold.need, now);
    return now >= hold.end || !ready || *ready > hold.end ? too_late
                                                          : std::string_view{};
}

struct slot
{
    boot_time ready;
    std::size_t host = 0;
};

resources times(const resources& need, std::int64_t count)
{
    return {
        need.cpu_milli * count, need.memory_mb * count,
        need.accelerators * count};
}

// When the hosts are expected to have room for a task each, or for several of
// them, in order of time and up to `latest`.
std::vector<slot> slots_of(
    const hold_request& step,
    std::span<const reservation_plan::host_view> hosts, boot_time now,
    boot_time latest)
{
    const auto most = step.most_per_host > 0
                          ? std::min(step.count, step.most_per_host)
                          : step.count;
    std::vector<slot> out;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        for (std::uint32_t k = 1; k <= most; ++k)
        {
            const auto ready =
                hosts[i].outlook->fits_from(times(step.need, k), now);
            if (!ready || *ready > latest)
                break;
            out.push_back({*ready, i});
        }
    std::ranges::stable_sort(out, {}, &slot::ready);
    return out;
}

} // namespace

std::vector<reservation_plan::ended_hold> reservation_plan::review(
    const std::function<const host_outlook*(const std::string&)>& outlook_of,
    const std::function<std::optional<step_urgency>(const task_ref&)>&
        urgency_of,
    boot_time now)
{
    std::erase_if(
        paused_until_, [&](const auto& item) { return item.second <= now; });
    std::map<std::string, std::string_view> ended;
    std::map<task_ref, std::string_view> ended_gangs;
    for (auto& [host, hold] : holds_)
    {
        const auto urgency = urgency_of(hold.step);
        hold.urgency = urgency.value_or(hold.urgency);
        const auto reason =
            urgency ? reason_to_end(hold, outlook_of(host), now) : not_waiting;
        if (reason.empty())
            continue;
        ended.emplace(host, reason);
        if (hold.together)
            ended_gangs.emplace(hold.step, reason);
    }
    // The room of a gang is of use only as a whole.
    for (const auto& [host, hold] : holds_)
        if (const auto gang = ended_gangs.find(hold.step);
            gang != ended_gangs.end())
            ended.emplace(host, gang->second);
    std::vector<ended_hold> out;
    for (const auto& [host, reason] : ended)
    {
        const auto hold = holds_.extract(host).mapped();
        // Room that was held in vain is free for at least as long afterwards.
        if (reason == too_late)
            paused_until_[hold.step] =
                std::max(paused_until_[hold.step], now + (now - hold.made));
        out.push_back({host, hold, reason});
    }
    return out;
}

std::vector<std::string> reservation_plan::request(
    const hold_request& step, std::span<const host_view> hosts,
    std::size_t max_hosts, boot_time now)
{
    if (!may_request(step.step))
        return {};
    std::vector<host_view> open;
    std::ranges::copy_if(
        hosts, std::back_inserter(open), [&](const host_view& view) {
            return !is_held(std::string(view.host));
        });
    const auto slots = slots_of(step, open, now, now + step.max_wait);
    const std::size_t wanted = step.together ? step.count : 1;
    if (slots.size() < wanted || slots[wanted - 1].ready <= now)
    {
        // So that other steps have their turn.
        paused_until_[step.step] = now + retry_pause;
        return {};
    }
    std::map<std::size_t, host_hold> chosen;
    for (const auto& s : slots | std::views::take(step.count))
    {
        if (!step.together && chosen.size() >= max_hosts &&
            !chosen.contains(s.host))
            continue;
        auto& hold = chosen[s.host];
        hold.need = hold.need + step.need;
        hold.ready = step.together ? slots[wanted - 1].ready
                                   : std::max(hold.ready, s.ready);
    }
    std::vector<std::string> out;
    for (auto& [index, hold] : chosen)
    {
        hold.step = step.step;
        hold.urgency = step.urgency;
        hold.together = step.together;
        hold.made = now;
        hold.end = hold.ready +
                   std::max<std::chrono::milliseconds>(
                       min_tolerance,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           hold.ready - now) /
                           2);
        out.emplace_back(open[index].host);
        holds_.emplace(out.back(), hold);
    }
    return out;
}

bool reservation_plan::allows(
    const std::string& host, const gap_work& work, const host_outlook& outlook,
    boot_time now) const
{
    const auto found = holds_.find(host);
    if (found == holds_.end())
        return true;
    const auto& hold = found->second;
    if (hold.step == work.step || work.urgency < hold.urgency)
        return true;
    return work.expected_end <= hold.ready ||
           fits(
               hold.need + work.need,
               outlook.free_at(std::max(now, hold.ready)));
}

void reservation_plan::note_start(
    const std::string& host, const task_ref& step, const resources& need)
{
    if (!is_held_for(host, step))
        return;
    auto& left = holds_.at(host).need;
    left = left - need;
    if (fits(left, {}))
        holds_.erase(host);
}

bool reservation_plan::is_held(const std::string& host) const
{
    return holds_.contains(host);
}

bool reservation_plan::is_held_for(
    const std::string& host, const task_ref& step) const
{
    const auto found = holds_.find(host);
    return found != holds_.end() && found->second.step == step;
}

bool reservation_plan::may_request(const task_ref& step) const
{
    return !paused_until_.contains(step) &&
           std::ranges::none_of(holds_, [&](const auto& item) {
               return item.second.step == step;
           });
}

const std::map<std::string, host_hold>& reservation_plan::holds() const
{
    return holds_;
}

} // namespace dandeliontack
