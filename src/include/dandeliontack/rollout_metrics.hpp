#pragma once

#include <dandeliontack/control_node.hpp>

namespace dandeliontack
{

/// Records the time from writing each accepted change of configuration to
/// applying it on this node, as `tack_rollout_seconds`. It compares the clocks
/// of two hosts. Changes that are applied while the node catches up with the
/// log don't count. Both must outlive the node's run.
void record_rollout(control_node& node, metric_registry& metrics);

} // namespace dandeliontack
