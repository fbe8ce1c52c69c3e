#include <dandeliontack/request_target.hpp>

#include <charconv>

namespace dandeliontack
{

std::optional<service_target> parse_target(std::string_view target)
{
    constexpr std::string_view prefix = "/services/";
    if (!target.starts_with(prefix))
        return std::nullopt;
    target.remove_prefix(prefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    if (end == 0)
        return std::nullopt;
    std::string path(target.substr(end));
    if (!path.starts_with('/'))
        path.insert(path.begin(), '/');
    return service_target{std::string(target.substr(0, end)), std::move(path)};
}

std::optional<std::uint64_t>
parse_bounded(std::string_view text, std::uint64_t least, std::uint64_t most)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < least ||
        value > most)
        return std::nullopt;
    return value;
}

} // namespace dandeliontack
