#include <dandeliontack/submission_refusal.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace dandeliontack
{

namespace
{

constexpr std::array<std::string_view, 2> cause_names{
    "unavailable", "beyond-share"};

} // namespace

std::string_view to_string(refusal_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

std::string encode(const submission_refusal& refusal)
{
    return std::string(to_string(refusal.cause)) + " " +
           std::to_string(refusal.retry_after.count());
}

submission_refusal decode_submission_refusal(std::string_view text)
{
    const auto space = text.find(' ');
    const auto* name = std::ranges::find(cause_names, text.substr(0, space));
    if (space == std::string_view::npos || name == cause_names.end())
        return {};
    std::int64_t milliseconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + space + 1, end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0)
        return {};
    return {
        static_cast<refusal_cause>(name - cause_names.begin()),
        std::chrono::milliseconds(milliseconds)};
}

} // namespace dandeliontack
