#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dandeliontack
{

/// A maintenance wave over whole pools, as operators publish it.
struct wave_config
{
    std::string name;
    /// Every host of these pools is maintained once.
    std::vector<std::string> pools;
    /// Whether the wave is held up until published again without it.
    bool paused = false;

    bool operator==(const wave_config&) const = default;
};

} // namespace dandeliontack
