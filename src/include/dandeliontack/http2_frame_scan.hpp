#pragma once

#include <dandeliontack/http_refusal.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// What begins each frame of HTTP/2 (RFC 9113, section 4.1).
struct http2_frame_head
{
    std::uint32_t length = 0;
    std::uint8_t type = 0;
    std::uint8_t flags = 0;
    std::uint32_t stream = 0;

    /// Whether its sender sends nothing more on the stream.
    bool ends_stream() const;
    /// What it takes of the windows of its stream and its connection, in bytes.
    std::uint32_t window_bytes() const;
};

/// Finds the heads of frames in a sequence of bytes, in whatever pieces these
/// come.
class http2_frame_heads
{
public:
    /// The next head in `bytes`, from which all up to its end is removed;
    /// nothing if the head is not complete.
    std::optional<http2_frame_head> next(std::string_view& bytes);

    /// The next bytes of the payload of the last head, as far as `bytes` has
    /// them, which are removed from it.
    std::string_view payload(std::string_view& bytes);
    bool has_payload_left() const
    {
        return payload_left_ > 0;
    }

private:
    static constexpr std::size_t head_bytes = 9;

    std::array<char, head_bytes> head_{};
    std::size_t taken_ = 0;
    std::uint32_t payload_left_ = 0;
};

/// Bounds on what a client of HTTP/2 may send.
struct http2_limits
{
    /// The largest payload of a frame.
    std::uint32_t frame_bytes = 16 * 1024;
    /// One block of fields with the frames that it is cut into.
    std::uint32_t header_bytes = 16 * 1024;
    /// Requests of one connection that may be under way at once.
    std::size_t requests = 4;
    /// The largest payload of a frame of settings.
    std::uint32_t settings_bytes = 1024;
};

/// Follows the frames that a client sends on one connection, and keeps none of
/// their bytes.
class http2_frame_scan
{
public:
    explicit http2_frame_scan(http2_limits limits) : limits_(limits) {}

    /// Takes the client's next bytes. Returns why the connection must end,
    /// once and for all, if it must.
    std::optional<http_refusal> take(std::string_view bytes);

    /// The server sends a frame.
    void answer(const http2_frame_head& head);

    /// Whether the server may send nothing more on the connection, or on a
    /// stream of it, until the client has read.
    bool is_stalled() const;

    std::uint64_t requests() const
    {
        return requests_;
    }
    /// What all frames so far cost the server, in ordinary frames.
    std::uint64_t cost() const
    {
        return cost_;
    }
    /// Whether a request, or the fields of one, is incomplete.
    bool is_incomplete() const
    {
        return in_fields_ || !incomplete_.empty();
    }

private:
    static constexpr std::int64_t initial_window_bytes = 65'535;

    void end(std::uint32_t stream);
    std::optional<http_refusal> take_head(const http2_frame_head& head);
    std::optional<http_refusal> take_fields(const http2_frame_head& head);
    void take_payload();
    void take_settings();

    http2_limits limits_;
    std::size_t preface_taken_ = 0;
    http2_frame_heads heads_;
    // A block of fields goes on in the next frame.
    bool in_fields_ = false;
    std::uint32_t fields_stream_ = 0;
    std::uint64_t fields_bytes_ = 0;
    std::uint64_t cost_ = 0;
    std::uint64_t requests_ = 0;
    std::uint32_t last_stream_ = 0;
    // Of a frame whose payload matters here.
    http2_frame_head kept_head_;
    std::string kept_payload_;
    // What the server may send, by RFC 9113, section 6.9; may be negative.
    std::int64_t stream_window_ = initial_window_bytes;
    std::int64_t connection_window_ = initial_window_bytes;
    // The windows of the streams that neither side has ended for good.
    std::map<std::uint32_t, std::int64_t> open_;
    // Those of them whose client has not ended its side.
    std::set<std::uint32_t> incomplete_;
};

} // namespace dandeliontack
