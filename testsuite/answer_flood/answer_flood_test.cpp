// A control process keeps within its memory while large answers of its pages
// and of gRPC are asked for at once and read by nobody.

#include "harness/flooded_system.hpp"
#include "harness/http2_frames.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace dandeliontack::harness
{

namespace
{

constexpr std::size_t many = 400;

} // namespace

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
    const std::string get = "GET /v1/values HTTP/1.1\r\nhost: a\r\n\r\n";
    const attack pages{
        .name = "",
        .connections = many,
        .opening = get,
        .repeated = repeat(get, 20),
        .bytes = 128 * 1024};
    crowd of_pages(system.control_address("admin"), pages);
    of_tables.send();
    of_records.send();
    of_pages.send();
    auto& control = system.control();
    control.settle();
    const auto used = control.used();
    EXPECT_LE(used.peak_bytes, control.most_bytes()) << to_string(used);
    EXPECT_LE(control.most_descriptors(), small_machine::descriptors);
    EXPECT_TRUE(system.control_serves()) << "while the crowd stays";
    std::cout << to_string(used) << "\n";
}

} // namespace dandeliontack::harness
