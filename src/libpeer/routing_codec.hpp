#pragma once

#include "control.pb.h"
#include <dandeliontack/routing.hpp>

namespace dandeliontack
{

wire::routing_table to_wire(const routing_table& table);

/// Entries that can't be understood are left out.
routing_table from_wire(const wire::routing_table& in);

} // namespace dandeliontack
