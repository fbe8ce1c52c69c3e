#include "certify.hpp"
#include "domains.hpp"

namespace dandeliontack
{

std::string subject_of(const service_config& config)
{
    return "service " + config.key.name + " " +
           std::to_string(config.key.schema_version);
}

std::string certify(const state& s, const service_config& config)
{
    if (!s.config.pools.contains(config.pool))
        return "there is no pool " + config.pool;
    return {};
}

void feed(hasher& h, const service_config& config)
{
    h.add(config.key.name);
    h.add(config.key.schema_version);
    h.add(config.pool);
    h.add(config.deadline);
}

} // namespace dandeliontack
