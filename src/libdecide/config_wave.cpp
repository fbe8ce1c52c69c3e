#include "certify.hpp"
#include "domains.hpp"

#include <algorithm>

namespace dandeliontack
{

std::string subject_of(const wave_config& config)
{
    return "wave " + config.name;
}

std::string certify(const state& s, const wave_config& config)
{
    const auto unknown =
        std::ranges::find_if(config.pools, [&](const std::string& pool) {
            return !s.config.pools.contains(pool);
        });
    if (unknown != config.pools.end())
        return "there is no pool " + *unknown;
    return {};
}

void feed(hasher& h, const wave_config& config)
{
    h.add(config.name);
    h.add_range(config.pools);
    h.add(config.paused);
}

} // namespace dandeliontack
