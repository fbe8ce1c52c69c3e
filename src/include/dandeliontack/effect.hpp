#pragma once

#include <dandeliontack/config_effects.hpp>
#include <dandeliontack/fleet_effects.hpp>
#include <dandeliontack/job_effects.hpp>
#include <dandeliontack/membership_effects.hpp>

#include <type_traits>
#include <variant>
#include <vector>

namespace dandeliontack
{

/// The effect of a type that a domain's variant holds, or null.
template <class Effect, class... Alternatives>
const Effect* get_effect(const std::variant<Alternatives...>& domain)
{
    if constexpr ((std::is_same_v<Effect, Alternatives> || ...))
        return std::get_if<Effect>(&domain);
    return nullptr;
}

/// What should happen because of an applied event. A variant a domain.
using effect =
    std::variant<config_effect, membership_effect, fleet_effect, job_effect>;

using effects = std::vector<effect>;

/// The first effect of a type, or null. The list owns it.
template <class Effect>
const Effect* find_effect(const effects& todo)
{
    for (const auto& item : todo)
    {
        const auto* found = std::visit(
            [](const auto& domain) { return get_effect<Effect>(domain); },
            item);
        if (found)
            return found;
    }
    return nullptr;
}

} // namespace dandeliontack
