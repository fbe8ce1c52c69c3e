#include <dandeliontack/deflated_text.hpp>

#include <zlib.h>

#include <array>
#include <memory>
#include <new>

namespace dandeliontack
{

namespace
{

constexpr std::size_t piece_bytes = 16 * 1024;

} // namespace

std::string deflate(std::string_view text)
{
    auto size = compressBound(text.size());
    std::string out(size, '\0');
    // With room for the bound, nothing but memory can be missing.
    if (compress2(
            reinterpret_cast<Bytef*>(out.data()), &size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            Z_DEFAULT_COMPRESSION) != Z_OK)
        throw std::bad_alloc();
    out.resize(size);
    return out;
}

std::optional<std::string>
inflate(std::string_view bytes, std::size_t most_bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    const std::unique_ptr<z_stream, int (*)(z_stream*)> ended(
        &stream, inflateEnd);
    std::string input(bytes);
    stream.next_in = reinterpret_cast<Bytef*>(input.data());
    stream.avail_in = static_cast<uInt>(input.size());
    std::array<char, piece_bytes> piece{};
    std::string out;
    int result = Z_OK;
    while (result == Z_OK && out.size() <= most_bytes)
    {
        stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        stream.avail_out = piece_bytes;
        result = ::inflate(&stream, Z_NO_FLUSH);
        out.append(piece.data(), piece_bytes - stream.avail_out);
    }
    if (result != Z_STREAM_END || out.size() > most_bytes)
        return std::nullopt;
    return out;
}

} // namespace dandeliontack
