#pragma once

#include <string>
#include <variant>

namespace dandeliontack
{

/// A deferrable job was accepted. From here on it is never dropped.
struct job_accepted
{
    std::string job;
    std::string team;
    std::string pool;
};

using job_event = std::variant<job_accepted>;

} // namespace dandeliontack
