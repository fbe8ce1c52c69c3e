#pragma once

#include <dandeliontack/job_config.hpp>
#include <dandeliontack/pool_config.hpp>
#include <dandeliontack/service_config.hpp>
#include <dandeliontack/team_config.hpp>
#include <dandeliontack/wave_config.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// An operator published a value.
template <class Config>
struct published
{
    std::string publisher;
    /// The revision that the change is based on; 0 for a new value.
    std::uint64_t base = 0;
    Config config;
};

using pool_published = published<pool_config>;
using service_published = published<service_config>;
using wave_published = published<wave_config>;
using team_published = published<team_config>;
using job_published = published<job_config>;

using config_event = std::variant<
    pool_published, service_published, wave_published, team_published,
    job_published>;

/// The key under which a value is in force: its name, or name and schema
/// version for a service.
template <class Config>
const std::string& key_of(const Config& config)
{
    return config.name;
}
inline const service_key& key_of(const service_config& config)
{
    return config.key;
}

/// What findings and effects call a value: `pool NAME`, `service NAME
/// VERSION`, `wave NAME`, `team NAME` or `job NAME`.
std::string subject_of(const pool_config& config);
std::string subject_of(const service_config& config);
std::string subject_of(const wave_config& config);
std::string subject_of(const team_config& config);
std::string subject_of(const job_config& config);
std::string subject_of(const config_event& e);

} // namespace dandeliontack
