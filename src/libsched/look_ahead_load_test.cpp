// Placement that looks ahead, against streams of work that the pool has no room
// for, in virtual time.

#include "simulated_pool.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack::test
{

namespace
{

using std::chrono::milliseconds;

constexpr resources small_need{3000, 1000, 0};
constexpr resources large_need{15'000, 1000, 0};
constexpr milliseconds small_run_time = 400ms;
constexpr milliseconds large_run_time = 1000ms;
// The latest start with which a large task meets its objective, by the terms of
// `pool_driver::make_submission`.
constexpr milliseconds latest_start = 1600ms;

pool_terms terms_of(bool look_ahead)
{
    pool_terms terms;
    terms.look_ahead = look_ahead;
    return terms;
}

/// Small tasks arrive as fast as the pool can run them, so that some always
/// wait.
class narrow_stream
{
public:
    explicit narrow_stream(simulated_pool& pool, double estimate_factor = 1)
        : pool_(pool), estimate_factor_(estimate_factor)
    {}

    void run(milliseconds duration)
    {
        constexpr std::size_t least_waiting = 8;
        constexpr std::uint32_t tasks_per_submission = 3;
        constexpr std::uint32_t spread = 5;
        for (auto t = 0ms; t < duration; t += simulated_pool::round)
        {
            while (pool_.driver().engine.waiting_tasks() < least_waiting)
                pool_.submit(
                    small_need, tasks_per_submission,
                    small_run_time + 40ms * (count_++ % spread),
                    estimate_factor_);
            pool_.run();
        }
    }

    unsigned count() const
    {
        return count_;
    }

private:
    simulated_pool& pool_;
    double estimate_factor_;
    unsigned count_ = 0;
};

bool is_reserved(const simulated_pool& pool, const std::string& host)
{
    return pool.driver().engine.reservations().is_reserved(host);
}

// One host has little left of the scarce resource and much of the other, the
// other host the reverse. Returns whether tasks get room on both.
bool packs_by_scarce_resource(bool by_memory)
{
    const auto need = [&](std::int64_t scarce, std::int64_t plenty) {
        return by_memory ? resources{plenty, scarce * 2, 0}
                         : resources{scarce, plenty * 2, 0};
    };
    simulated_pool pool(2, terms_of(true));
    // The first leaves 6 and 14 of 16 on its host, the second 10 and 8.
    pool.submit(need(10'000, 2000), 1, 5s);
    pool.run();
    pool.submit(need(6500, 8000), 1, 5s);
    pool.run();
    const auto fits_both = pool.submit(need(5000, 500), 1, 1s);
    pool.run();
    const auto fits_one = pool.submit(need(9000, 500), 1, 1s);
    pool.run();
    return pool.wait_of(fits_both) && pool.wait_of(fits_one);
}

} // namespace

TEST(look_ahead_load, large_task_among_small_ones_that_take_every_gap)
{
    simulated_pool pool(4, terms_of(true));
    narrow_stream stream(pool);
    stream.run(2s);
    const auto large = pool.submit(large_need, 1, large_run_time);
    stream.run(latest_start);
    ASSERT_TRUE(pool.wait_of(large));
    EXPECT_LT(*pool.wait_of(large), latest_start);
    EXPECT_FALSE(pool.was_overfull());
}

TEST(look_ahead_load, gang_behind_a_stream_of_narrow_steps)
{
    simulated_pool pool(4, terms_of(true));
    narrow_stream stream(pool);
    stream.run(2s);
    const auto gang =
        pool.submit({12'000, 1000, 0}, 4, large_run_time, 1, true);
    stream.run(latest_start);
    ASSERT_TRUE(pool.wait_of(gang));
    EXPECT_LT(*pool.wait_of(gang), latest_start);
    EXPECT_FALSE(pool.was_overfull());
}

TEST(look_ahead_load, estimates_that_are_off_by_half_and_by_ten)
{
    for (const double factor : {0.1, 0.5, 1.5, 2.0, 10.0})
    {
        simulated_pool pool(4, terms_of(true));
        narrow_stream stream(pool, factor);
        stream.run(2s);
        const auto large = pool.submit(large_need, 1, large_run_time, factor);
        stream.run(latest_start);
        // Reservations cost at most the room of one host in four.
        simulated_pool plain(4, terms_of(false));
        narrow_stream same(plain, factor);
        same.run(2s + latest_start);
        EXPECT_GE(stream.count(), same.count() * 3 / 4) << factor;
        stream.run(10s);
        EXPECT_TRUE(pool.wait_of(large)) << factor;
    }
}

TEST(look_ahead_load, small_tasks_fill_the_gap_before_a_reservation)
{
    simulated_pool pool(1, terms_of(true));
    pool.submit({4000, 1000, 0}, 2, 1000ms);
    pool.run();
    const auto large = pool.submit(large_need, 1, large_run_time);
    pool.run();
    pool.run();
    ASSERT_TRUE(is_reserved(pool, "host-0"));
    const auto ends_before = pool.submit(small_need, 1, 400ms);
    const auto ends_after = pool.submit(small_need, 1, 1400ms);
    pool.run();
    EXPECT_TRUE(pool.wait_of(ends_before));
    EXPECT_FALSE(pool.wait_of(ends_after));
    for (int i = 0; i < 60; ++i)
        pool.run();
    ASSERT_TRUE(pool.wait_of(large));
    EXPECT_LE(*pool.wait_of(large), 1100ms);
}

TEST(look_ahead_load, another_host_is_reserved_when_the_first_is_lost)
{
    simulated_pool pool(4, terms_of(true));
    narrow_stream stream(pool);
    stream.run(2s);
    const auto large = pool.submit(large_need, 1, large_run_time);
    stream.run(100ms);
    const auto reserved = pool.driver().engine.reservations().by_host();
    ASSERT_EQ(reserved.size(), 1);
    pool.remove_host(reserved.begin()->first);
    stream.run(latest_start);
    EXPECT_GE(pool.decisions("reservation_ended"), 1);
    ASSERT_TRUE(pool.wait_of(large));
    EXPECT_LT(*pool.wait_of(large), latest_start);
}

TEST(look_ahead_load, reservation_gives_way_to_what_is_more_urgent)
{
    simulated_pool pool(1, terms_of(true));
    pool.submit({4000, 1000, 0}, 2, 1000ms);
    pool.run();
    pool.submit(large_need, 1, large_run_time);
    pool.run();
    pool.run();
    ASSERT_TRUE(is_reserved(pool, "host-0"));
    auto urgent = pool_driver::make_submission(1, 1000);
    urgent.spec.steps.front().long_running = true;
    urgent.spec.steps.front().need = {8000, 1000, 0};
    const auto effects = pool.driver().apply(pool_event::submitted{urgent});
    pool.driver().store();
    const auto starts =
        pool_driver::effects_of<pool_effect::start>(pool.driver().tick());
    ASSERT_EQ(starts.size(), 1);
    EXPECT_EQ(starts.front().task.submission, urgent.id);
    pool.driver().advance(20ms);
    pool.driver().tick();
    EXPECT_FALSE(is_reserved(pool, "host-0"));
}

TEST(look_ahead_load, many_large_tasks_reserve_a_quarter_of_the_hosts)
{
    constexpr std::size_t hosts = 8;
    simulated_pool pool(hosts, terms_of(true));
    narrow_stream stream(pool);
    stream.run(2s);
    for (int i = 0; i < 10; ++i)
        pool.submit(large_need, 1, large_run_time);
    std::size_t most = 0;
    for (int i = 0; i < 50; ++i)
    {
        stream.run(simulated_pool::round);
        most = std::max(
            most, pool.driver().engine.reservations().by_host().size());
    }
    EXPECT_EQ(most, hosts / 4);
}

TEST(look_ahead_load, packs_by_memory_where_cores_are_left)
{
    EXPECT_TRUE(packs_by_scarce_resource(true));
}

TEST(look_ahead_load, packs_by_cores_where_memory_is_left)
{
    EXPECT_TRUE(packs_by_scarce_resource(false));
}

RC_GTEST_PROP(
    look_ahead_load_property, keeps_to_capacity_and_leaves_no_room_idle, ())
{
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 6);
    simulated_pool pool(hosts, terms_of(true));
    std::vector<std::uint64_t> submitted;
    constexpr int rounds = 150;
    for (int i = 0; i < rounds; ++i)
    {
        if (*rc::gen::inRange(0, 3) == 0)
        {
            const bool gang = *rc::gen::inRange(0, 8) == 0;
            const resources need{
                *rc::gen::inRange(1, 17) * 1000,
                *rc::gen::inRange(1, 33) * 1000, 0};
            submitted.push_back(pool.submit(
                need,
                *rc::gen::inRange<std::uint32_t>(
                    1, gang ? static_cast<std::uint32_t>(hosts) + 1 : 4),
                milliseconds(*rc::gen::inRange(100, 1500)),
                *rc::gen::element(0.1, 0.5, 1.0, 1.9, 10.0), gang));
        }
        pool.run();
        RC_ASSERT(!pool.was_overfull());
        for (const auto& [id, h] : pool.driver().engine.hosts())
            for (const auto s : submitted)
            {
                const auto* state = pool.driver().engine.state_of(s);
                if (!state || is_reserved(pool, id) ||
                    state->record.spec.steps[0].gang)
                    continue;
                const auto& step = state->occurrences.at(0).steps[0];
                RC_ASSERT(
                    std::ranges::none_of(
                        step.tasks,
                        [](const task_state& t) {
                            return t.phase == task_phase::waiting;
                        }) ||
                    !fits(
                        state->record.spec.steps[0].need,
                        h.entry.capacity - h.used));
            }
    }
    // What arrived is served once nothing more arrives.
    for (int i = 0; i < 10'000 && pool.driver().engine.waiting_tasks() > 0; ++i)
        pool.run();
    RC_ASSERT(pool.driver().engine.waiting_tasks() == 0u);
}

RC_GTEST_PROP(look_ahead_load_property, wait_of_a_large_task_is_bounded, ())
{
    simulated_pool pool(*rc::gen::inRange<std::size_t>(4, 9), terms_of(true));
    narrow_stream stream(pool);
    stream.run(1s + milliseconds(*rc::gen::inRange(0, 1000)));
    const auto large = pool.submit(
        {*rc::gen::inRange(12, 17) * 1000, 1000, 0}, 1, large_run_time);
    stream.run(latest_start);
    RC_ASSERT(pool.wait_of(large));
}

} // namespace dandeliontack::test
