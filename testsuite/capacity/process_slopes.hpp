#pragma once

#include "line_fit.hpp"

namespace dandeliontack::capacity
{

/// What an idle control process uses.
struct idle_cost
{
    /// Processor seconds a second.
    fitted_line processor;
    fitted_line resident_bytes;
    /// Bytes a second between it and the platform, both directions.
    fitted_line platform_bytes;
};

/// Slopes of whole processes on loopback.
struct process_slopes
{
    /// Against the number of control processes, with an empty host list.
    idle_cost by_nodes;
    /// Seconds from starting `tackctl publish` until all control processes
    /// have applied a change, against their number.
    fitted_line rollout_by_nodes;
    /// Against the hosts listed, for one control process that fetches the
    /// list every 500 ms.
    idle_cost by_hosts;
    /// Bytes between a control process and the platform for each published
    /// change, both directions.
    double change_bytes = 0;
    /// Processor seconds of a control process for each published change.
    double change_processor = 0;
    /// Bytes between a control and an entry process for each change.
    double change_entry_bytes = 0;
    /// Entry process: resident bytes against open connections of callers.
    fitted_line connection_bytes;
    /// Entry process: processor seconds against requests.
    fitted_line request_processor;
    /// Entry process: resident bytes against requests answered.
    fitted_line request_bytes;
    /// Seconds until a published change is accepted, tackctl's start included,
    /// against the control processes that were killed and stand before the
    /// asked one in the order of members.
    fitted_line rollout_by_killed;
};

process_slopes measure_processes();

} // namespace dandeliontack::capacity
