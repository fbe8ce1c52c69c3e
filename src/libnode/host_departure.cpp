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
constexpr std::size_t all_fields = 4;

} // namespace

std::string encode(const host_departure& departure)
{
    const auto known = departure.known_before.value_or(owner_moment{});
    return absl::StrCat(
        departure.host, " ", known.epoch, " ",
        known.at.time_since_epoch().count(), " ", departure.age.count());
}

std::optional<host_departure> decode_host_departure(std::string_view text)
{
    const std::vector<std::string> fields =
        absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    if (fields.front().empty())
        return std::nullopt;
    if (fields.size() == id_fields)
        return host_departure{fields.front(), std::nullopt, {}};
    owner_moment known;
    std::int64_t at = 0;
    std::int64_t age = 0;
    if (fields.size() != all_fields ||
        !absl::SimpleAtoi(fields[1], &known.epoch) ||
        !absl::SimpleAtoi(fields[2], &at) ||
        !absl::SimpleAtoi(fields[3], &age) || age < 0)
        return std::nullopt;
    known.at = boot_time(std::chrono::milliseconds(at));
    return host_departure{
        fields.front(), known, std::chrono::milliseconds(age)};
}

} // namespace dandeliontack
