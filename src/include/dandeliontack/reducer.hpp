#pragma once

#include <dandeliontack/effect.hpp>
#include <dandeliontack/event.hpp>
#include <dandeliontack/state.hpp>

namespace dandeliontack
{

/// A state and what should happen because of the step that led to it.
struct reduction
{
    state next;
    effects todo;
};

/// Applies one event. Deterministic: no clock, no random numbers, no I/O.
/// Events must come in the order that `log_order` gives. A second copy of a
/// record and a record that is rejected change only the bookkeeping.
reduction reduce(state current, const event& e);

} // namespace dandeliontack
