#include <dandeliontack/ticket.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace dandeliontack
{

namespace
{

constexpr std::size_t word_digits = 16;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parse_word(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    if (text.size() != word_digits || parsed.ec != std::errc{} ||
        parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string word(std::uint64_t value)
{
    std::array<char, word_digits + 1> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

std::string to_string(const ticket& value)
{
    return word(value.issuer.high) + word(value.issuer.low) + "-" +
           word(value.number) + "@" + to_string(value.address);
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    constexpr auto dash = 2 * word_digits;
    constexpr auto at = dash + 1 + word_digits;
    if (text.size() <= at || text[dash] != '-' || text[at] != '@')
        return std::nullopt;
    const auto high = parse_word(text.substr(0, word_digits));
    const auto low = parse_word(text.substr(word_digits, word_digits));
    const auto number = parse_word(text.substr(dash + 1, word_digits));
    const auto address = parse_endpoint(text.substr(at + 1));
    if (!high || !low || !number || !address)
        return std::nullopt;
    return ticket{{*high, *low}, *number, *address};
}

} // namespace dandeliontack
