#pragma once

#include <dandeliontack/config_events.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace dandeliontack
{

/// A value in force with its revision and the record that brought it.
template <class Config>
struct in_force
{
    Config config;
    /// Counts the accepted changes of this value, from 1.
    std::uint64_t revision = 0;
    /// The operator record that brought it.
    std::uint64_t offset = 0;

    bool operator==(const in_force&) const = default;
};

/// All values that operators published, as they are in force.
struct config_state
{
    std::map<std::string, in_force<pool_config>> pools;
    std::map<service_key, in_force<service_config>> services;
    std::map<std::string, in_force<wave_config>> waves;
    std::map<std::string, in_force<team_config>> teams;
    std::map<std::string, in_force<job_config>> jobs;

    bool operator==(const config_state&) const = default;
};

} // namespace dandeliontack
