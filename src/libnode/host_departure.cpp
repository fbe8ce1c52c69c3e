#include <dandeliontack/host_departure.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdint>
#include <vector>

namespace dandeliontack
{

namespace
{

constexpr std::size_t id_fields = 1;
constexpr std::size_t all_fields = 3;

} // namespace

std::string encode(const host_departure& departure)
{
    return absl::StrCat(
        departure.host, " ",
        departure.born.value_or(std::chrono::milliseconds(0)).count(), " ",
        departure.age.count());
}

std::optional<host_departure> decode_host_departure(std::string_view text)
{
    const std::vector<std::string> fields =
        absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    if (fields.front().empty())
        return std::nullopt;
    if (fields.size() == id_fields)
        return host_departure{fields.front(), std::nullopt, {}};
    std::int64_t born = 0;
    std::int64_t age = 0;
    if (fields.size() != all_fields || !absl::SimpleAtoi(fields[1], &born) ||
        !absl::SimpleAtoi(fields[2], &age) || age < 0)
        return std::nullopt;
    return host_departure{
        fields.front(), std::chrono::milliseconds(born),
        std::chrono::milliseconds(age)};
}

} // namespace dandeliontack
