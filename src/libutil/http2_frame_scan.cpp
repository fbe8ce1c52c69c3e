#include <dandeliontack/http2_frame_scan.hpp>

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Types and flags of frames (RFC 9113, section 6).
constexpr std::uint8_t data_frame = 0;
constexpr std::uint8_t headers_frame = 1;
constexpr std::uint8_t reset_frame = 3;
constexpr std::uint8_t settings_frame = 4;
constexpr std::uint8_t push_frame = 5;
constexpr std::uint8_t ping_frame = 6;
constexpr std::uint8_t window_update_frame = 8;
constexpr std::uint8_t continuation_frame = 9;
constexpr std::uint8_t acknowledgement = 1;
constexpr std::uint8_t end_of_stream = 1;
constexpr std::uint8_t end_of_headers = 4;
constexpr std::uint32_t stream_mask = 0x7fffffff;
constexpr std::uint64_t initial_window_size = 4;

std::uint32_t number_of(std::string_view big_endian)
{
    return std::accumulate(
        big_endian.begin(), big_endian.end(), std::uint32_t{0},
        [](std::uint32_t sum, char byte) {
            return (sum << 8) | static_cast<unsigned char>(byte);
        });
}

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

std::uint32_t http2_frame_head::window_bytes() const
{
    return type == data_frame ? length : 0;
}

std::string_view http2_frame_heads::payload(std::string_view& bytes)
{
    const auto out = bytes.substr(0, payload_left_);
    payload_left_ -= static_cast<std::uint32_t>(out.size());
    bytes.remove_prefix(out.size());
    return out;
}

std::optional<http2_frame_head> http2_frame_heads::next(std::string_view& bytes)
{
    payload(bytes);
    const auto of_head = std::min(head_bytes - taken_, bytes.size());
    std::ranges::copy(bytes.substr(0, of_head), head_.begin() + taken_);
    taken_ += of_head;
    bytes.remove_prefix(of_head);
    if (taken_ < head_bytes)
        return std::nullopt;
    taken_ = 0;
    const std::string_view head(head_.data(), head_.size());
    payload_left_ = number_of(head.substr(0, 3));
    return http2_frame_head{
        payload_left_, static_cast<std::uint8_t>(head[3]),
        static_cast<std::uint8_t>(head[4]),
        number_of(head.substr(5)) & stream_mask};
}

std::optional<http_refusal> http2_frame_scan::take(std::string_view bytes)
{
    const auto expected = preface.substr(preface_taken_);
    const auto of_preface = std::min(expected.size(), bytes.size());
    if (bytes.substr(0, of_preface) != expected.substr(0, of_preface))
        return http_refusal::malformed;
    preface_taken_ += of_preface;
    bytes.remove_prefix(of_preface);
    while (true)
    {
        if (kept_head_.length > 0)
        {
            kept_payload_ += heads_.payload(bytes);
            if (heads_.has_payload_left())
                return std::nullopt;
            take_payload();
        }
        const auto head = heads_.next(bytes);
        if (!head)
            return std::nullopt;
        if (const auto refusal = take_head(*head))
            return refusal;
    }
}

void http2_frame_scan::end(std::uint32_t stream)
{
    open_.erase(stream);
    incomplete_.erase(stream);
}

void http2_frame_scan::answer(const http2_frame_head& head)
{
    connection_window_ -= head.window_bytes();
    if (const auto found = open_.find(head.stream); found != open_.end())
        found->second -= head.window_bytes();
    if (head.ends_stream())
        end(head.stream);
}

bool http2_frame_scan::is_stalled() const
{
    return !open_.empty() &&
           (connection_window_ <= 0 ||
            std::ranges::any_of(open_ | std::views::values, [](auto window) {
                return window <= 0;
            }));
}

void http2_frame_scan::take_payload()
{
    const auto head = std::exchange(kept_head_, {});
    if (head.type == settings_frame)
        take_settings();
    else if (head.stream == 0)
        connection_window_ += number_of(kept_payload_) & stream_mask;
    else if (const auto found = open_.find(head.stream); found != open_.end())
        found->second += number_of(kept_payload_) & stream_mask;
    kept_payload_.clear();
}

// A new initial window changes those of open streams by the difference.
void http2_frame_scan::take_settings()
{
    constexpr std::size_t key_bytes = 2;
    constexpr std::size_t setting_bytes = 6;
    std::string_view rest(kept_payload_);
    for (; rest.size() >= setting_bytes; rest.remove_prefix(setting_bytes))
    {
        if (number_of(rest.substr(0, key_bytes)) != initial_window_size)
            continue;
        const std::int64_t window =
            number_of(rest.substr(key_bytes, setting_bytes - key_bytes));
        const auto before = std::exchange(stream_window_, window);
        for (auto& [stream, left] : open_)
            left += window - before;
    }
}

std::optional<http_refusal>
http2_frame_scan::take_head(const http2_frame_head& head)
{
    cost_ += head.type == ping_frame ? ping_cost : 1;
    if (head.length > limits_.frame_bytes ||
        (head.type == settings_frame && head.length > limits_.settings_bytes))
        return http_refusal::body_too_large;
    if ((head.type == settings_frame && (head.flags & acknowledgement) == 0) ||
        (head.type == window_update_frame &&
         head.length == sizeof(std::uint32_t)))
        kept_head_ = head;
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
    open_[head.stream] = stream_window_;
    incomplete_.insert(head.stream);
    if (open_.size() > limits_.requests)
        return http_refusal::no_room;
    return std::nullopt;
}

} // namespace dandeliontack
