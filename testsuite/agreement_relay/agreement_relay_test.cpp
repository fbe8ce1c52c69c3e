// A control process that can't read the log, but reaches its peers, stays
// current and its state counts as confirmed.

#include "harness/control_group.hpp"

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;

TEST(agreement_relay, a_process_cut_from_the_log_follows_its_peers)
{
    cluster system;
    system.add_worker("w1");
    add_controls(system, 2);
    system.control_platform = system.second_address;
    const auto& cut = system.add_control("cut", fast_leadership);
    const auto& entry = system.add_entry("e1", cut.grpc);
    const auto& whole = system.controls.at("c1");
    system.publish(
        whole.admin, "[pool tower]\nhosts = w1\nstaleness_bound = 3s\n"
                     "when_stale = refuse\n[service climbs]\npool = tower\n");
    ASSERT_TRUE(routes_to(entry, "climbs", 1));

    system.set_fault("mode=cut-second");
    system.publish(whole.admin, "[pool registry]\nhosts = w2\n");
    EXPECT_TRUE(pool_in_force(cut, "registry", 1));
    EXPECT_FALSE(status_of(cut).leads);
    // Later changes come as well, and requests are answered past the bound.
    system.publish(whole.admin, "[pool registry]\nhosts = w3\n");
    EXPECT_TRUE(pool_in_force(cut, "registry", 2));
    EXPECT_TRUE(states_agree(system));
    const auto until = status_of(whole).system_end + 250;
    EXPECT_TRUE(
        eventually([&] { return status_of(whole).system_end > until; }));
    EXPECT_TRUE(eventually([&] {
        return get(entry.callers, "/services/climbs/x").result() ==
               http::status::ok;
    }));

    system.set_fault("mode=mend-second");
    EXPECT_TRUE(states_agree(system));
}

} // namespace
