// The log carries out appends but loses its answers.

#include "harness/cluster.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;

TEST(lost_answer, a_change_sent_again_is_in_force_once)
{
    cluster system;
    system.add_worker("w1");
    const auto& control = system.add_control("control-1");
    const auto file =
        system.folder.write("pool.ini", "[pool registry]\nhosts = w1\n");

    system.set_fault("mode=lose-answers");
    program_result result;
    std::thread publisher(
        [&] { result = system.tackctl(control.admin, {"publish", file}); });
    // Several copies are in the log before an answer gets through.
    const auto appended = [&] {
        const auto answer =
            get(system.platform_address, "/streams/operators/records?from=0");
        return answer.body().size();
    };
    const auto one = [&] { return appended() > 0; };
    EXPECT_TRUE(eventually(one));
    const auto first_size = appended();
    EXPECT_TRUE(eventually([&] { return appended() > 2 * first_size; }));
    system.set_fault("mode=none");
    publisher.join();

    EXPECT_EQ(result.exit_code, 0) << result.output << result.errors;
    const auto status = get_json(control.admin, "/v1/status");
    const auto& pools = status.at("pools").as_array();
    ASSERT_EQ(pools.size(), 1U);
    EXPECT_EQ(pools[0].at("revision").to_number<int>(), 1);
    EXPECT_TRUE(status.at("rejections").as_array().empty());
}

TEST(lost_answer, a_log_that_is_down_is_reported_as_nothing_published)
{
    cluster system;
    const auto& control = system.add_control("control-1");
    const auto file =
        system.folder.write("pool.ini", "[pool registry]\nhosts = w1\n");
    system.set_fault("mode=down");
    const auto result =
        system.tackctl(control.admin, {"--timeout=300ms", "publish", file});
    EXPECT_EQ(result.exit_code, 3);
    EXPECT_NE(result.errors.find("nothing was published"), std::string::npos);
}

} // namespace
