// A control process keeps within its memory and its descriptors whatever comes
// to its pages or its gRPC address, and goes on to serve beside it.

#include "harness/crowd.hpp"
#include "harness/expect_bounds.hpp"
#include "harness/flooded_system.hpp"
#include "harness/http2_frames.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string_view>
#include <tuple>

namespace dandeliontack::harness
{

namespace
{

constexpr std::size_t bytes_per_mb = 1024 * 1024;
constexpr std::size_t endless = 40 * bytes_per_mb;
constexpr std::size_t largest_frame = 16 * 1024;

std::vector<attack> header_attacks()
{
    // The length of a name: more than 268 million bytes.
    const std::string endless_name("\x00\x7f\xff\xff\xff\x7f", 6);
    std::string fields;
    while (fields.size() + 8 < largest_frame)
        fields += field("a", "b");
    return {
        {.name = "a_field_without_end",
         .connections = 4,
         .opening = preface + frame(headers_frame, 0, 1, endless_name),
         .repeated =
             frame(continuation_frame, 0, 1, std::string(largest_frame, 'a')),
         .bytes = endless},
        {.name = "fields_without_end",
         .connections = 4,
         .opening = preface + frame(headers_frame, 0, 1, field("a", "b")),
         .repeated = frame(continuation_frame, 0, 1, fields),
         .bytes = endless},
        {.name = "empty_continuations_without_end",
         .connections = 4,
         .opening = preface + frame(headers_frame, 0, 1, field("a", "b")),
         .repeated = repeat(frame(continuation_frame, 0, 1, ""), 1000),
         .bytes = endless / 4},
        {.name = "trailers_without_end",
         .connections = 4,
         .opening = preface + calls("peer/relay", 1, [](auto) { return ""; }) +
                    frame(headers_frame, end_of_stream, 1, endless_name),
         .repeated =
             frame(continuation_frame, 0, 1, std::string(largest_frame, 'a')),
         .bytes = endless}};
}

std::vector<attack> stream_attacks()
{
    const auto message = [](std::uint32_t length, const std::string& part) {
        return std::string(1, '\0') + big_endian(length, 4) + part;
    };
    const auto whole = message(0, "");
    const auto part = message(4 * bytes_per_mb - 1, std::string(16'000, 'x'));
    const std::string subscribe = "control/subscribe_routing";
    return {
        once(
            "streams_that_stay", 4,
            calls(
                subscribe, 10'000,
                [&](auto stream) {
                    return frame(data_frame, end_of_stream, stream, whole);
                })),
        once(
            "streams_that_are_reset", 4,
            calls(
                subscribe, 40'000,
                [&](auto stream) {
                    return frame(data_frame, end_of_stream, stream, whole) +
                           frame(reset_frame, 0, stream, big_endian(8, 4));
                })),
        once(
            "messages_that_stop", many,
            calls("peer/relay", 100, [&](auto stream) {
                return frame(data_frame, 0, stream, part);
            }))};
}

std::vector<attack> connection_attacks()
{
    return {
        connections_that_stay(),
        {.name = "prefaces_without_calls",
         .connections = more_than_descriptors,
         .opening = preface,
         .repeated = "P",
         .bytes = 0},
        {.name = "pings_without_end",
         .connections = 4,
         .opening = preface,
         .repeated = repeat(frame(ping_frame, 0, 0, "12345678"), 1000),
         .bytes = endless},
        {.name = "settings_without_end",
         .connections = 4,
         .opening = preface,
         .repeated = repeat(frame(settings_frame, 0, 0, ""), 1000),
         .bytes = endless},
        {.name = "bytes_of_no_protocol",
         .connections = many,
         .opening = "",
         .repeated = std::string(largest_frame, '\xff'),
         .bytes = bytes_per_mb}};
}

std::vector<attack> grpc_attacks()
{
    auto all = header_attacks();
    std::ranges::move(stream_attacks(), std::back_inserter(all));
    std::ranges::move(connection_attacks(), std::back_inserter(all));
    return all;
}

std::vector<attack> page_attacks()
{
    return {
        connections_that_stay(), heads_that_stop("/v1/status"),
        bodies_that_stop("bodies_that_stop", "POST /v1/status"),
        responses_that_are_never_read("/v1/values")};
}

struct control_flood : testing::TestWithParam<attack>
{
    void play(const std::string& address)
    {
        crowd senders(system.control_address(address), GetParam());
        senders.send();
        auto& control = system.control();
        control.settle();
        expect_within_bounds(control);
        EXPECT_TRUE(system.control_serves()) << "while the crowd stays";
    }

    flooded_system system;
};

struct control_grpc_flood : control_flood
{
};

struct control_page_flood : control_flood
{
};

} // namespace

TEST_P(control_grpc_flood, leaves_the_process_within_its_bounds)
{
    play("grpc");
}

TEST_P(control_page_flood, leaves_the_process_within_its_bounds)
{
    play("admin");
}

INSTANTIATE_TEST_SUITE_P(
    of, control_grpc_flood, testing::ValuesIn(grpc_attacks()),
    [](const auto& attack) { return attack.param.name; });

INSTANTIATE_TEST_SUITE_P(
    of, control_page_flood, testing::ValuesIn(page_attacks()),
    [](const auto& attack) { return attack.param.name; });

} // namespace dandeliontack::harness
