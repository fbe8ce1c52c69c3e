#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace dandeliontack
{

/// A host should be drained, rebooted or put back by the platform. `term`
/// and `offset` fence it: the platform refuses one that is older than the
/// last it took for the same host.
struct host_command
{
    std::string host;
    std::string action;
    std::uint64_t term = 0;
    std::uint64_t offset = 0;
};

using fleet_effect = std::variant<host_command>;

} // namespace dandeliontack
