// Several entry processes together keep to a worker's slots, and a burst of
// one class leaves the others their place.

#include "harness/request_cluster.hpp"

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack::harness;

constexpr unsigned workers = 2;
constexpr unsigned slots = 8;

std::string settings_of(unsigned index)
{
    return "[upstreams]\nentry_processes = 3\nqueue = 8\nentry_index = " +
           std::to_string(index) + "\n[tickets]\npeers = 127.0.0.1\n";
}

TEST(request_limits, a_burst_exceeds_no_slots_and_starves_no_class)
{
    request_cluster system(workers, "");
    for (unsigned i = 0; i < 3; ++i)
        system.start_entry("e" + std::to_string(i), settings_of(i));
    load burst(
        system.entries, {.callers = 120,
                         .requests = 100'000,
                         .copies = 1,
                         .rank = "deferrable",
                         .name = "burst-"});
    ASSERT_TRUE(eventually([&] { return burst.ended() > 500; }));
    load urgent(
        system.entries,
        {.callers = 4, .requests = 100, .seed = 2, .rank = "urgent"});
    const auto seen = urgent.finish();
    burst.stop();
    const auto burst_seen = burst.finish();
    const auto runs = system.runs();
    EXPECT_EQ(check_history(seen, runs, {}), std::vector<std::string>{});
    EXPECT_EQ(check_history(burst_seen, runs, {}), std::vector<std::string>{});
    EXPECT_EQ(count_of(seen, copy_end::answered), seen.size());
    EXPECT_GT(count_of(burst_seen, copy_end::answered), 0U);
    EXPECT_GT(count_of(burst_seen, copy_end::not_run), 0U);
    for (const auto& [name, address] : system.system.worker_addresses)
    {
        const auto most = std::stoul(get(address, "/stats").body());
        EXPECT_LE(most, slots) << name;
        EXPECT_GT(most, 1U) << name;
    }
}

} // namespace
