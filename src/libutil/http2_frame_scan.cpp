#include <dandeliontack/http2_frame_scan.hpp>

#include <algorithm>
#include <numeric>

namespace dandeliontack
{

namespace
{

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Types and flags of frames (RFC 9113, section 6).
constexpr std::uint8_t data_frame = 0;
constexpr std::uint8_t headers_frame = 1;
constexpr std::uint8_t reset_frame = 3;
constexpr std::uint8_t push_frame = 5;
constexpr std::uint8_t ping_frame = 6;
constexpr std::uint8_t continuation_frame = 9;
constexpr std::uint8_t end_of_stream = 1;
constexpr std::uint8_t end_of_headers = 4;
constexpr std::uint32_t stream_mask = 0x7fffffff;

// A request makes the server set up a call, also where the client gives it up;
// a ping is answered, or punished with more than an answer.
constexpr std::uint64_t request_cost = 10;
constexpr std::uint64_t ping_cost = 50;

} // namespace

bool http2_frame_head::ends_stream() const
{
    return type == reset_frame ||
           ((type == data_frame || type == headers_frame) &&
            (flags & end_of_stream) != 0);
}

std::optional<http2_frame_head> http2_frame_heads::next(std::string_view& bytes)
{
    const auto of_payload = std::min<std::size_t>(payload_left_, bytes.size());
    payload_left_ -= static_cast<std::uint32_t>(of_payload);
    bytes.remove_prefix(of_payload);
    const auto of_head = std::min(head_bytes - taken_, bytes.size());
    std::ranges::copy(
        bytes.substr(0, of_head),
        head_.begin() + static_cast<std::ptrdiff_t>(taken_));
    taken_ += of_head;
    bytes.remove_prefix(of_head);
    if (taken_ < head_bytes)
        return std::nullopt;
    taken_ = 0;
    const auto number = [this](std::size_t at, std::size_t count) {
        return std::accumulate(
            head_.begin() + static_cast<std::ptrdiff_t>(at),
            head_.begin() + static_cast<std::ptrdiff_t>(at + count),
            std::uint32_t{0}, [](std::uint32_t sum, unsigned char byte) {
                return (sum << 8) | byte;
            });
    };
    payload_left_ = number(0, 3);
    return http2_frame_head{
        payload_left_, head_[3], head_[4], number(5, 4) & stream_mask};
}

std::optional<http_refusal> http2_frame_scan::take(std::string_view bytes)
{
    const auto expected = preface.substr(preface_taken_);
    const auto of_preface = std::min(expected.size(), bytes.size());
    if (bytes.substr(0, of_preface) != expected.substr(0, of_preface))
        return http_refusal::malformed;
    preface_taken_ += of_preface;
    bytes.remove_prefix(of_preface);
    while (const auto head = heads_.next(bytes))
        if (const auto refusal = take_head(*head))
            return refusal;
    return std::nullopt;
}

void http2_frame_scan::end(std::uint32_t stream)
{
    open_.erase(stream);
    incomplete_.erase(stream);
}

std::optional<http_refusal>
http2_frame_scan::take_head(const http2_frame_head& head)
{
    cost_ += head.type == ping_frame ? ping_cost : 1;
    if (head.length > limits_.frame_bytes)
        return http_refusal::body_too_large;
    // Nothing may stand between the frames of one block.
    const bool goes_on = head.type == continuation_frame;
    if (in_fields_ != goes_on || (goes_on && head.stream != fields_stream_))
        return http_refusal::malformed;
    if (head.type == headers_frame || head.type == push_frame || goes_on)
        if (const auto refusal = take_fields(head))
            return refusal;
    if (head.type == reset_frame)
        end(head.stream);
    else if (head.ends_stream())
        incomplete_.erase(head.stream);
    return std::nullopt;
}

std::optional<http_refusal>
http2_frame_scan::take_fields(const http2_frame_head& head)
{
    constexpr std::uint64_t head_bytes = 9;
    if (head.type != continuation_frame)
        fields_bytes_ = 0;
    fields_bytes_ += head_bytes + head.length;
    if (fields_bytes_ > limits_.header_bytes)
        return http_refusal::header_too_large;
    in_fields_ = (head.flags & end_of_headers) == 0;
    fields_stream_ = head.stream;
    // Fields of an earlier stream end its request.
    if (head.type != headers_frame || head.stream <= last_stream_)
        return std::nullopt;
    last_stream_ = head.stream;
    ++requests_;
    cost_ += request_cost;
    open_.insert(head.stream);
    incomplete_.insert(head.stream);
    if (open_.size() > limits_.requests)
        return http_refusal::no_room;
    return std::nullopt;
}

} // namespace dandeliontack
