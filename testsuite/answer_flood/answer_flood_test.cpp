// A control process keeps within its memory while large answers of its pages
// and of gRPC are asked for at once and read by nobody.

#include "harness/expect_bounds.hpp"
#include "harness/flooded_system.hpp"
#include "harness/http2_frames.hpp"

#include <gtest/gtest.h>

namespace dandeliontack::harness
{

TEST(answer_flood, leaves_the_control_process_within_its_bounds)
{
    flooded_system system;
    system.publish_services(2000);
    const auto whole = std::string(5, '\0');
    const auto ask = [&](auto stream) {
        return frame(data_frame, end_of_stream, stream, whole);
    };
    const auto subscriptions =
        once("", many, calls("control/subscribe_routing", 4, ask));
    const auto records = once("", many, calls("peer/relay", 4, ask));
    crowd of_tables(system.control_address("grpc"), subscriptions);
    crowd of_records(system.control_address("grpc"), records);
    const auto pages = responses_that_are_never_read("/v1/values");
    crowd of_pages(system.control_address("admin"), pages);
    of_tables.send();
    of_records.send();
    of_pages.send();
    auto& control = system.control();
    control.settle();
    expect_within_bounds(control);
    EXPECT_TRUE(system.control_serves()) << "while the crowd stays";
}

} // namespace dandeliontack::harness
