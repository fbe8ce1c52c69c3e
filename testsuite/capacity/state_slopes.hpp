#pragma once

#include "line_fit.hpp"

namespace dandeliontack::capacity
{

/// How many of each thing a fleet has.
struct fleet_size
{
    double hosts = 0;
    double pools = 0;
    double services = 0;
    double teams = 0;
    double changes_a_day = 0;
    double entry_hosts = 0;
    double nodes = 0;
};

/// Cost of one kind of value in the state and on the log.
struct value_cost
{
    /// Allocator bytes against the number of values.
    fitted_line heap;
    /// Processor time to apply against the number of events, in nanoseconds.
    fitted_line apply_ns;
    /// Bytes of one record.
    double record_bytes = 0;
};

/// Slopes of the decision library and the codecs, measured in this process.
struct state_slopes
{
    value_cost host;
    value_cost pool;
    value_cost service;
    value_cost team;
    value_cost job;
    /// Events that come from a new writer each, as each tackctl run is one.
    value_cost writer;
    /// Applying one record, and one change of a pool, to a state of the
    /// letter's size whose table of writers is full, in nanoseconds.
    double apply_at_size_ns = 0;
    double apply_pool_at_size_ns = 0;
    /// `hash_of` against the heap bytes of the state, in nanoseconds.
    fitted_line hash_ns;
    /// `hash_of` of a state of the letter's size, in nanoseconds.
    double hash_at_size_ns = 0;
    double heap_at_size = 0;
    /// Routing table against the upstreams in it.
    fitted_line table_bytes;
    fitted_line table_ns;
    /// Routing table at the letter's size.
    double table_bytes_at_size = 0;
    double table_ns_at_size = 0;
    /// Allocator bytes of one sample that tack-report holds of an entry
    /// process which serves all versions of the letter's size.
    double report_sample_bytes = 0;
    /// Host list against the hosts in it.
    fitted_line host_list_bytes;
    fitted_line host_list_ns;
};

state_slopes measure_state(const fleet_size& size);

} // namespace dandeliontack::capacity
