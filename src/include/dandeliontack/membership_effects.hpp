#pragma once

#include <dandeliontack/incarnation.hpp>

#include <cstdint>
#include <variant>

namespace dandeliontack
{

/// The set of control processes has changed.
struct members_changed
{
};

/// A new term began.
struct leader_changed
{
    std::uint64_t term = 0;
    incarnation leader;
};

/// A record was void, since its writer does not hold the current term.
struct record_fenced
{
    incarnation writer;
    std::uint64_t sequence = 0;
    std::uint64_t term = 0;
};

using membership_effect =
    std::variant<members_changed, leader_changed, record_fenced>;

} // namespace dandeliontack
