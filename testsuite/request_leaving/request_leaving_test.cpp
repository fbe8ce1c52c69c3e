// An upstream that leaves gets no new work, whether the host list says so or
// the upstream itself.

#include "harness/request_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace
{

using namespace dandeliontack::harness;

constexpr auto leaving_limit = std::chrono::seconds(5);

std::string history_of(const request_cluster& system, const std::string& worker)
{
    return get(system.system.worker_addresses.at(worker), "/history").body();
}

std::size_t runs_at(const request_cluster& system, const std::string& worker)
{
    const auto history = history_of(system, worker);
    return static_cast<std::size_t>(std::ranges::count(history, '\n'));
}

bool grows(const load& callers, std::size_t by)
{
    const auto before = callers.ended();
    return eventually([&] { return callers.ended() >= before + by; });
}

// Under load, the worker's history ends within 5 s and then stays as it is.
TEST(request_leaving, a_worker_listed_as_leaving_gets_no_new_work)
{
    request_cluster system(3, "");
    system.start_entry("e0");
    load callers(system.entries, {.callers = 4, .requests = 100'000});
    ASSERT_TRUE(eventually([&] { return runs_at(system, "w0") > 0; }));
    system.system.list_worker("w0", "leaving");
    std::size_t last = 0;
    ASSERT_TRUE(eventually(
        [&] {
            const auto before = std::exchange(last, runs_at(system, "w0"));
            return grows(callers, 50) && before == last;
        },
        leaving_limit));
    EXPECT_TRUE(grows(callers, 500));
    EXPECT_EQ(runs_at(system, "w0"), last);
    callers.stop();
    const auto seen = callers.finish();
    EXPECT_EQ(
        check_history(seen, system.runs(), {}), std::vector<std::string>{});
}

TEST(request_leaving, a_worker_that_says_so_gets_no_new_work)
{
    request_cluster system(2, "");
    system.start_entry("e0");
    system.set_worker("w0", "mode=leaving");
    const auto& entry = system.system.entries.at("e0").callers;
    for (unsigned i = 0; i < 20; ++i)
        get(entry, "/services/citations/r/" + std::to_string(i));
    EXPECT_EQ(runs_at(system, "w0"), 1U);
    EXPECT_EQ(runs_at(system, "w1"), 19U);
}

} // namespace
