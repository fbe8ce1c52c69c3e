#include "host_outlook.hpp"
#include <dandeliontack/reservation_plan.hpp>

#include <algorithm>
#include <ranges>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

// A reservation ends this much after the room was expected, and at least half
// of the expected wait after it.
constexpr auto min_tolerance = 100ms;

// A step for which no hosts were found gets no reservation for this time.
constexpr auto retry_pause = 100ms;
constexpr std::string_view not_waiting = "step does not wait";
constexpr std::string_view host_lost = "host lost";
constexpr std::string_view too_late = "room expected too late";

// Empty if the reservation goes on.
std::string_view reason_to_end(
    const host_reservation& reservation, const host_outlook* outlook,
    boot_time now)
{
    if (!outlook)
        return host_lost;
    const auto ready = outlook->fits_from(reservation.need, now);
    return now >= reservation.end || !ready || *ready > reservation.end
               ? too_late
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
    const reservation_request& step,
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

std::vector<reservation_plan::ended_reservation> reservation_plan::review(
    const std::function<const host_outlook*(const std::string&)>& outlook_of,
    const std::function<std::optional<step_urgency>(const task_ref&)>&
        urgency_of,
    boot_time now)
{
    std::erase_if(
        paused_until_, [&](const auto& item) { return item.second <= now; });
    std::map<std::string, std::string_view> ended;
    std::map<task_ref, std::string_view> ended_gangs;
    for (auto& [host, reservation] : reservations_)
    {
        const auto urgency = urgency_of(reservation.step);
        reservation.urgency = urgency.value_or(reservation.urgency);
        const auto reason =
            urgency ? reason_to_end(reservation, outlook_of(host), now)
                    : not_waiting;
        if (reason.empty())
            continue;
        ended.emplace(host, reason);
        if (reservation.together)
            ended_gangs.emplace(reservation.step, reason);
    }
    // The room of a gang is of use only as a whole.
    for (const auto& [host, reservation] : reservations_)
        if (const auto gang = ended_gangs.find(reservation.step);
            gang != ended_gangs.end())
            ended.emplace(host, gang->second);
    std::vector<ended_reservation> out;
    for (const auto& [host, reason] : ended)
    {
        const auto reservation = reservations_.extract(host).mapped();
        // Room that was reserved in vain is free for at least as long
        // afterwards.
        if (reason == too_late)
            paused_until_[reservation.step] = std::max(
                paused_until_[reservation.step],
                now + (now - reservation.made));
        out.push_back({host, reservation, reason});
    }
    return out;
}

std::vector<std::string> reservation_plan::request(
    const reservation_request& step, std::span<const host_view> hosts,
    std::size_t max_hosts, boot_time now)
{
    if (!may_request(step.step))
        return {};
    std::vector<host_view> open;
    std::ranges::copy_if(
        hosts, std::back_inserter(open), [&](const host_view& view) {
            return !is_reserved(std::string(view.host));
        });
    const auto slots = slots_of(step, open, now, now + step.max_wait);
    const std::size_t wanted = step.together ? step.count : 1;
    if (slots.size() < wanted || slots[wanted - 1].ready <= now)
    {
        // So that other steps have their turn.
        paused_until_[step.step] = now + retry_pause;
        return {};
    }
    std::map<std::size_t, host_reservation> chosen;
    for (const auto& s : slots | std::views::take(step.count))
    {
        if (!step.together && chosen.size() >= max_hosts &&
            !chosen.contains(s.host))
            continue;
        auto& reservation = chosen[s.host];
        reservation.need = reservation.need + step.need;
        reservation.ready = step.together
                                ? slots[wanted - 1].ready
                                : std::max(reservation.ready, s.ready);
    }
    std::vector<std::string> out;
    for (auto& [index, reservation] : chosen)
    {
        reservation.step = step.step;
        reservation.urgency = step.urgency;
        reservation.together = step.together;
        reservation.made = now;
        reservation.end =
            reservation.ready +
            std::max<std::chrono::milliseconds>(
                min_tolerance,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    reservation.ready - now) /
                    2);
        out.emplace_back(open[index].host);
        reservations_.emplace(out.back(), reservation);
    }
    return out;
}

bool reservation_plan::allows(
    const std::string& host, const gap_work& work, const host_outlook& outlook,
    boot_time now) const
{
    const auto found = reservations_.find(host);
    if (found == reservations_.end())
        return true;
    const auto& reservation = found->second;
    if (reservation.step == work.step || work.urgency < reservation.urgency)
        return true;
    return work.expected_end <= reservation.ready ||
           fits(
               reservation.need + work.need,
               outlook.free_at(std::max(now, reservation.ready)));
}

void reservation_plan::note_start(
    const std::string& host, const task_ref& step, const resources& need)
{
    if (!is_reserved_for(host, step))
        return;
    auto& left = reservations_.at(host).need;
    left = left - need;
    if (fits(left, {}))
        reservations_.erase(host);
}

bool reservation_plan::is_reserved(const std::string& host) const
{
    return reservations_.contains(host);
}

bool reservation_plan::is_reserved_for(
    const std::string& host, const task_ref& step) const
{
    const auto found = reservations_.find(host);
    return found != reservations_.end() && found->second.step == step;
}

bool reservation_plan::may_request(const task_ref& step) const
{
    return !paused_until_.contains(step) &&
           std::ranges::none_of(reservations_, [&](const auto& item) {
               return item.second.step == step;
           });
}

const std::map<std::string, host_reservation>& reservation_plan::by_host() const
{
    return reservations_;
}

} // namespace dandeliontack
