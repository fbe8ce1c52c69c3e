#include "job_driver.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::job_driver;

constexpr std::size_t pool_hosts = 4;
constexpr std::size_t pool_budget = 2;
const std::vector<std::string> pools{"p", "q"};
const std::vector<std::string> teams{"t", "u", "v"};

std::uint64_t below(std::uint64_t end)
{
    // Alike at every size, so that short runs meet all faults too.
    return *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

std::string job_name(std::uint64_t number)
{
    return "j" + std::to_string(number);
}

std::string any_job(const driver& d)
{
    return job_name(below(d.s.config.jobs.size() + 1));
}

std::string any_host()
{
    return pools[below(2)] + "-" + std::to_string(below(pool_hosts));
}

job_size any_size()
{
    return {1 + below(18), 1 + below(18000), below(3)};
}

void publish_new_job(driver& d)
{
    job_config config;
    config.name = job_name(d.s.config.jobs.size());
    config.team = teams[below(3)];
    config.pool = pools[below(2)];
    config.kind = below(2) == 0 ? "k" : "l";
    config.priority = static_cast<job_class>(below(3));
    const auto size = any_size();
    config.processors = size.processors;
    config.memory_mb = size.memory_mb;
    config.accelerators = size.accelerators;
    // Declared sizes are often far from the truth.
    const auto truth = below(2) == 0 ? size : any_size();
    d.truth[config.name] = {
        truth, milliseconds(200 * (1 + below(30))), below(8) == 0};
    add_job(d, config);
}

void change_cancellation(driver& d)
{
    const auto name = any_job(d);
    if (d.s.config.jobs.contains(name))
        d.publish(name, below(2) == 0);
}

void change_host(driver& d)
{
    const auto name = any_host();
    const auto& known = d.s.fleet.hosts.at(name);
    d.append(fleet_event{host_observed{
        name, static_cast<listing>(below(3)), "dc", "rack", known.processors,
        known.memory_mb, known.accelerators}});
}

void change_faults(driver& d)
{
    const auto name = any_host();
    if (!d.bad_hosts.erase(name))
        d.bad_hosts.insert(name);
}

// The lease is often the present one, so that the record may hold.
job_event any_record(const driver& d)
{
    const auto job = any_job(d);
    const auto known = d.s.jobs.jobs.find(job);
    auto lease = below(50);
    if (known != d.s.jobs.jobs.end() && below(2) == 0)
        lease = known->second.lease;
    switch (below(12))
    {
    case 0:
        return job_placed{job, any_host(), any_size()};
    case 1:
        return job_started{job, lease};
    case 2:
        return job_reported{job, lease, any_size()};
    case 3:
        return job_resized{job, lease, any_size()};
    case 4:
        return job_action_requested{
            job, lease, static_cast<job_action>(below(4))};
    case 5:
        return job_failed{job, lease};
    case 6:
        return job_checkpointed{job, lease};
    case 7:
        return job_stopped{job, lease};
    case 8:
        return job_lost{job, lease};
    case 9:
        return job_unrunnable{job, static_cast<unrunnable_reason>(below(3))};
    case 10:
        return host_suspected{any_host()};
    default:
        return host_cleared{any_host()};
    }
}

void check_sums(const state& s)
{
    std::map<std::string, job_size> hosts;
    std::map<std::string, job_size> by_team;
    for (const auto& [name, job] : s.jobs.jobs)
    {
        RC_ASSERT(holds_host(job.phase) == !job.host.empty());
        RC_ASSERT(holds_host(job.phase) || job.held == job_size{});
        if (!holds_host(job.phase))
            continue;
        hosts[job.host] = hosts[job.host] + job.held;
        by_team[job.team] = by_team[job.team] + job.held;
    }
    RC_ASSERT(hosts == s.jobs.held_on_host);
    RC_ASSERT(by_team == s.jobs.held_by_team);
    for (const auto& [host, held] : hosts)
        RC_ASSERT(fits(held, capacity_of(s.fleet.hosts.at(host))));
    for (const auto& [team, held] : by_team)
        RC_ASSERT(fits(held, quota_of(s, team)));
}

void check_suspects(const state& s)
{
    for (const auto& pool : pools)
    {
        const auto suspected = std::ranges::count_if(
            s.config.pools.at(pool).config.hosts,
            [&](const auto& host) { return is_suspected(s, host); });
        RC_ASSERT(
            static_cast<std::size_t>(suspected) <= pool_hosts - pool_budget);
    }
}

// No accepted job is forgotten, and none that finished runs again.
void check_jobs(const state& before, const state& after)
{
    for (const auto& [name, job] : before.config.jobs)
    {
        RC_ASSERT(after.config.jobs.contains(name));
        if (phase_of(before, name) == job_phase::finished)
            RC_ASSERT(phase_of(after, name) == job_phase::finished);
        if (phase_of(after, name) == job_phase::cancelled)
            RC_ASSERT(after.config.jobs.at(name).config.cancelled);
    }
}

driver any_fleet()
{
    driver d;
    for (const auto& pool : pools)
        add_pool(d, pool, pool_hosts, {16, 16000, below(3)}, pool_budget);
    for (const auto& team : teams)
        add_team(d, team, {8 + below(60), 8000 + below(60000), below(8)});
    return d;
}

void disturb(driver& d, std::vector<event_body>& saved)
{
    switch (below(8))
    {
    case 0:
    case 1:
        return publish_new_job(d);
    case 2:
        return change_cancellation(d);
    case 3:
        return change_host(d);
    case 4:
        return change_faults(d);
    case 5:
        d.append(any_record(d));
        return;
    case 6:
        return d.resend(below(1000));
    default:
        // Another leader's proposals, made some time ago.
        for (const auto& body : saved)
            d.append(body);
        saved = d.plan();
    }
}

void heal(driver& d)
{
    d.bad_hosts.clear();
    for (const auto& [name, host] : std::map(d.s.fleet.hosts))
        d.append(fleet_event{host_observed{
            name, listing::live, "dc", "rack", host.processors, host.memory_mb,
            host.accelerators}});
}

RC_GTEST_PROP(jobs, hold_their_promises_through_faults_and_races, ())
{
    auto d = any_fleet();
    std::vector<event_body> saved;
    const auto steps = below(120);
    for (std::uint64_t i = 0; i < steps; ++i)
    {
        const auto before = d.s;
        disturb(d, saved);
        if (below(2) == 0)
            d.step(milliseconds(200));
        check_sums(d.s);
        check_suspects(d.s);
        check_jobs(before, d.s);
    }
    heal(d);
    for (int i = 0; i < 2000 && !d.settled(); ++i)
        d.step(milliseconds(200));
    for (const auto& [name, job] : d.s.config.jobs)
        if (phase_of(d.s, name) < job_phase::finished)
            RC_FAIL(
                name + " never ended, phase " +
                std::to_string(static_cast<int>(phase_of(d.s, name))));
    check_sums(d.s);
    auto replica = driver::led_state();
    for (const auto& e : d.history)
        replica = reduce(std::move(replica), e).next;
    RC_ASSERT(replica == d.s);
    RC_ASSERT(hash_of(replica) == hash_of(d.s));
}

RC_GTEST_PROP(jobs, urgent_work_starts_in_time_on_any_full_fleet, ())
{
    constexpr milliseconds bound(2600);
    driver d;
    add_pool(d, "p", 1 + below(5), {16, 16000, 2});
    add_team(d, "t", {1000, 1000000, 100});
    const auto add = [&](const std::string& name, job_class priority) {
        job_config config;
        config.name = name;
        config.team = "t";
        config.pool = "p";
        config.kind = name;
        config.priority = priority;
        config.processors = 1 + below(16);
        config.memory_mb = 1 + below(16000);
        config.accelerators = below(3);
        add_job(d, config, std::chrono::hours(1));
    };
    for (int i = 0; i < 20; ++i)
        add(job_name(i),
            below(2) == 0 ? job_class::normal : job_class::deferrable);
    const auto steps = below(10);
    for (std::uint64_t i = 0; i < steps; ++i)
        d.step(milliseconds(200));
    const auto accepted = d.now;
    add("now", job_class::urgent);
    while (d.now - accepted < bound)
        d.step(milliseconds(200));
    RC_ASSERT(d.started.contains("now"));
}

} // namespace
