#include <dandeliontack/http2_frame_scan.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace
{

using namespace dandeliontack;

constexpr std::uint32_t largest_header = 100;
constexpr std::uint32_t largest_frame = 200;
constexpr std::uint8_t end_of_stream = 1;
constexpr std::uint8_t end_of_headers = 4;

const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string frame(
    std::uint8_t type, std::uint8_t flags, std::uint8_t stream,
    std::size_t bytes)
{
    std::string head(9, '\0');
    head[1] = static_cast<char>(bytes >> 8);
    head[2] = static_cast<char>(bytes);
    head[3] = static_cast<char>(type);
    head[4] = static_cast<char>(flags);
    head[8] = static_cast<char>(stream);
    return head + std::string(bytes, 'x');
}

std::string headers(std::uint8_t flags, std::uint8_t stream, std::size_t bytes)
{
    return frame(1, flags, stream, bytes);
}

std::string continuation(std::uint8_t flags, std::size_t bytes)
{
    return frame(9, flags, 1, bytes);
}

http2_frame_scan make_scan()
{
    return http2_frame_scan({largest_frame, largest_header, 2});
}

std::optional<http_refusal> refusal_of(const std::string& bytes)
{
    auto scan = make_scan();
    return scan.take(preface + bytes);
}

TEST(http2_frame_scan, a_block_of_fields_is_bounded_with_its_frames)
{
    EXPECT_EQ(
        refusal_of(headers(0, 1, 40) + continuation(end_of_headers, 42)),
        std::nullopt);
    EXPECT_EQ(
        refusal_of(headers(0, 1, 40) + continuation(end_of_headers, 43)),
        http_refusal::header_too_large);
    std::string empty;
    for (int i = 0; i < 20; ++i)
        empty += continuation(0, 0);
    EXPECT_EQ(
        refusal_of(headers(0, 1, 0) + empty), http_refusal::header_too_large);
    EXPECT_EQ(
        refusal_of(
            headers(end_of_headers, 1, 90) + headers(end_of_headers, 3, 90)),
        std::nullopt);
}

TEST(http2_frame_scan, what_is_not_the_protocol_is_refused)
{
    auto scan = make_scan();
    EXPECT_EQ(scan.take("PRI * HTTP/1"), http_refusal::malformed);
    EXPECT_EQ(
        refusal_of(frame(0, 0, 1, largest_frame + 1)),
        http_refusal::body_too_large);
    EXPECT_EQ(refusal_of(continuation(0, 1)), http_refusal::malformed);
    EXPECT_EQ(
        refusal_of(headers(0, 1, 1) + frame(6, 0, 0, 8)),
        http_refusal::malformed);
}

TEST(http2_frame_scan, it_knows_whether_requests_are_incomplete)
{
    auto scan = make_scan();
    EXPECT_EQ(scan.take(preface + frame(4, 0, 0, 0)), std::nullopt);
    EXPECT_EQ(scan.requests(), 0U);
    EXPECT_EQ(scan.take(headers(end_of_headers, 1, 10)), std::nullopt);
    EXPECT_EQ(scan.requests(), 1U);
    EXPECT_TRUE(scan.is_incomplete());
    EXPECT_EQ(scan.take(frame(0, 0, 1, 5)), std::nullopt);
    EXPECT_TRUE(scan.is_incomplete());
    EXPECT_EQ(scan.take(frame(0, end_of_stream, 1, 5)), std::nullopt);
    EXPECT_FALSE(scan.is_incomplete());
    const auto cost = scan.cost();
    EXPECT_EQ(scan.take(frame(6, 0, 0, 8)), std::nullopt);
    EXPECT_GT(scan.cost(), cost + 10);
}

TEST(http2_frame_scan, requests_under_way_are_bounded)
{
    auto scan = make_scan();
    const auto request = [](std::uint8_t stream) {
        return headers(end_of_headers | end_of_stream, stream, 1);
    };
    EXPECT_EQ(scan.take(preface + request(1) + request(3)), std::nullopt);
    scan.answer({.type = 0, .flags = end_of_stream, .stream = 1});
    EXPECT_EQ(scan.take(request(5)), std::nullopt);
    // The client gives one up.
    EXPECT_EQ(scan.take(frame(3, 0, 3, 4) + request(7)), std::nullopt);
    EXPECT_EQ(scan.take(request(9)), http_refusal::no_room);
}

TEST(http2_frame_scan, a_client_that_grants_no_window_stalls)
{
    constexpr std::uint32_t window = 65'535;
    auto scan = make_scan();
    EXPECT_EQ(
        scan.take(preface + headers(end_of_headers | end_of_stream, 1, 1)),
        std::nullopt);
    scan.answer({.length = window - 1, .type = 0, .stream = 1});
    EXPECT_FALSE(scan.is_stalled());
    scan.answer({.length = 1, .type = 0, .stream = 1});
    EXPECT_TRUE(scan.is_stalled());
    // Of the stream alone, in two pieces, and then of the connection.
    const auto update = [](char stream) {
        return std::string("\0\0\x04\x08\0\0\0\0", 8) + stream +
               std::string("\0\0\0\x0a", 4);
    };
    const auto of_stream = update(1);
    EXPECT_EQ(scan.take(of_stream.substr(0, 11)), std::nullopt);
    EXPECT_EQ(scan.take(of_stream.substr(11)), std::nullopt);
    EXPECT_TRUE(scan.is_stalled());
    EXPECT_EQ(scan.take(update(0)), std::nullopt);
    EXPECT_FALSE(scan.is_stalled());
    scan.answer({.length = 10, .type = 0, .stream = 1});
    EXPECT_TRUE(scan.is_stalled());
    // Settings: an initial window of 65,545 bytes.
    EXPECT_EQ(
        scan.take(
            update(0) +
            std::string("\0\0\x06\x04\0\0\0\0\0\0\x04\0\x01\0\x09", 15)),
        std::nullopt);
    EXPECT_FALSE(scan.is_stalled());
    scan.answer({.type = 0, .flags = end_of_stream, .stream = 1});
    EXPECT_FALSE(scan.is_stalled());
}

RC_GTEST_PROP(http2_frame_scan, pieces_change_nothing, ())
{
    std::string bytes = preface;
    const auto frames = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    for (const auto number : frames)
        bytes += frame(
            number % 11, (number >> 8) % 8, (number >> 16) % 4,
            (number >> 20) % 60);
    auto whole = make_scan();
    const auto expected = whole.take(bytes);
    auto pieces = make_scan();
    std::optional<http_refusal> refusal;
    for (std::size_t at = 0; at < bytes.size() && !refusal;)
    {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        refusal = pieces.take(std::string_view(bytes).substr(at, size));
        at += size;
    }
    RC_ASSERT(refusal == expected);
}

} // namespace
