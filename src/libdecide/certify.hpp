#pragma once

#include <dandeliontack/state.hpp>

#include <string>

namespace dandeliontack
{

// Whether a published value fits the state: the reason why not, or an empty
// text. One overload a kind, each in the file config_KIND.cpp, beside the
// function that feeds it to the hash.
std::string certify(const state& s, const pool_config& config);
std::string certify(const state& s, const service_config& config);
std::string certify(const state& s, const wave_config& config);
std::string certify(const state& s, const team_config& config);
std::string certify(const state& s, const job_config& config);

} // namespace dandeliontack
