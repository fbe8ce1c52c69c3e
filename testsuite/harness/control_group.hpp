#pragma once

#include "cluster.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// Settings under which a leader is replaced within about half a second.
inline const std::string fast_leadership = "[leadership]\nheartbeat = 50ms\n"
                                           "lease = 300ms\n"
                                           "takeover = 400ms\n"
                                           "takeover_step = 50ms\n"
                                           "member_timeout = 1s\n";

/// Where a control process stands, as its status page tells.
struct control_status
{
    std::uint64_t system_end = 0;
    std::uint64_t operators_end = 0;
    std::uint64_t snapshot_end = 0;
    bool ready = false;
    std::string gap;
    std::string state_hash;
    bool leads = false;
    std::uint64_t term = 0;
    std::uint64_t fenced = 0;
    std::size_t nodes = 0;
    std::string incarnation;
};

control_status status_of(const control_process& control);

/// Starts control processes `c1`, `c2` and so on, and waits until all are
/// members. `extra` is appended to the settings of each.
void add_controls(
    cluster& system, std::size_t count,
    const std::string& extra = fast_leadership);

/// The name of the one that leads, without those in `except`; waits for it.
std::optional<std::string> wait_for_leader(
    const cluster& system, const std::vector<std::string>& except = {});

/// Whether all control processes but `except` come to have the same state hash
/// at one offset.
bool states_agree(
    const cluster& system, const std::vector<std::string>& except = {});

/// Whether a pool comes to be in force with a revision on a control process.
bool pool_in_force(
    const control_process& control, const std::string& pool,
    std::uint64_t revision);

} // namespace dandeliontack::harness
