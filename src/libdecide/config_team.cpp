#include "certify.hpp"
#include "domains.hpp"

namespace dandeliontack
{

std::string subject_of(const team_config& config)
{
    return "team " + config.name;
}

std::string certify(const state& /*s*/, const team_config& /*config*/)
{
    return {};
}

void feed(hasher& h, const team_config& config)
{
    h.add(config.name);
    h.add(config.quota_processors);
    h.add(config.quota_memory_mb);
    h.add(config.quota_accelerators);
}

} // namespace dandeliontack
