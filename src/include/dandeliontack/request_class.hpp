#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dandeliontack
{

/// How a caller ranks its request.
enum class request_class
{
    urgent,
    normal,
    deferrable
};

inline constexpr std::size_t request_classes = 3;

/// How many requests of each class get a slot in turn while all wait.
inline constexpr std::array<std::uint64_t, request_classes> class_weights{
    8, 4, 1};

/// Parses `urgent`, `normal` or `deferrable`.
std::optional<request_class> parse_request_class(std::string_view text);

} // namespace dandeliontack
