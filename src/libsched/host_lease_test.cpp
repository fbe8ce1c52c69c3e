#include <dandeliontack/host_lease.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

const lease_terms terms;

} // namespace

TEST(host_lease, no_lease_before_first_clock_reading)
{
    host_lease lease;
    EXPECT_FALSE(lease.extend(boot_time(1s), terms));
    EXPECT_TRUE(lease.has_ended(boot_time(1s)));
}

TEST(host_lease, restart_delays_end_by_longest_lease)
{
    host_lease lease;
    lease.begin_incarnation(boot_time(1s), 10s);
    EXPECT_FALSE(lease.has_ended(boot_time(11s)));
    EXPECT_TRUE(lease.has_ended(boot_time(12s)));
}

// For any clock rate that the platform permits, a lease that is reported as
// ended has expired on the host's clock.
RC_GTEST_PROP(host_lease, ended_lease_has_expired_on_host_clock, ())
{
    const auto rate = *rc::gen::inRange(980, 1001);
    const auto host_clock = [&](boot_time t) {
        return host_time(t.time_since_epoch().count() * rate / 1000);
    };
    host_lease lease;
    boot_time now(10s);
    std::optional<host_time> granted_until;
    for (int i = 0; i < 40; ++i)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        if (*rc::gen::inRange(0, 3) == 0)
            // The answer is delayed by up to 200 ms.
            lease.observe(
                host_clock(
                    now - std::chrono::milliseconds(*rc::gen::inRange(0, 200))),
                now);
        else if (const auto end = lease.extend(now, terms))
            granted_until = std::max(granted_until.value_or(*end), *end);
        if (granted_until && lease.has_ended(now))
            RC_ASSERT(host_clock(now) > *granted_until);
    }
}

// Safety condition of a takeover: a previous owner sends its last order before
// its claim validity ends, and the lease of that order has expired on the
// slowest permitted clock when the successor's wait is over.
TEST(host_lease, takeover_wait_covers_leases_of_previous_owner)
{
    const double slow = min_host_clock_rate;
    const auto last_order = terms.claim_validity;
    const auto longest = std::chrono::duration<double, std::milli>(terms.lease);
    EXPECT_GE(
        std::chrono::duration<double>(terms.takeover_wait()),
        std::chrono::duration<double>(last_order) +
            std::chrono::duration<double>(longest / slow));
}

} // namespace dandeliontack
