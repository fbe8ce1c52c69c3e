#pragma once

#include <dandeliontack/incarnation.hpp>

#include <variant>

namespace dandeliontack
{

/// The set of control processes has changed.
struct members_changed
{
};

using membership_effect = std::variant<members_changed>;

} // namespace dandeliontack
