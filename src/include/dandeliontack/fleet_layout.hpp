#pragma once

#include <dandeliontack/machine_list.hpp>
#include <dandeliontack/submission.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack
{

/// Identifies a cell, a part of a deployment that is scheduled independently.
using cell_id = std::uint32_t;

/// The maximum number of cells: each uses eight of the hundred topics that the
/// platform's store allows.
inline constexpr cell_id max_cells = 10;

/// The division of a deployment into cells. A cell has its own racks, hence its
/// own machines of every pool, and its own submissions of every queue. Each of
/// its pools is a shard with a separate owner. The layout is chosen once, since
/// submissions stay in the cell that accepted them.
struct fleet_layout
{
    cell_id cells = 1;
    /// The cell of each rack that existed when the layout was chosen.
    std::map<std::string, cell_id> racks;

    bool operator==(const fleet_layout&) const = default;
};

/// Chooses a layout whose cells have about the same number of machines in whole
/// racks. `machines_per_cell` is the number that one owner per pool can serve.
/// Load pattern: a peak starts several thousand tasks per second in one pool,
/// more than the CPU of a single owner can order.
fleet_layout choose_layout(
    const std::vector<listed_machine>& machines, std::size_t machines_per_cell);

/// The cell of a host or machine, from its rack or, without one, from the
/// host's id.
cell_id cell_of_host(
    const fleet_layout& layout, std::string_view rack, std::string_view host);

/// The cell of a submission of which only the id is known.
cell_id home_cell(const fleet_layout& layout, std::uint64_t submission);

/// The cell that accepts a submission: that of the rack that holds its data; if
/// it has long-running steps, the pool's cell for these; else its home cell.
/// Load pattern: a long-running step spreads its tasks over hosts, one task on
/// each, which then can't leave the pool. Steps in the same cell share hosts.
cell_id cell_of_submission(
    const fleet_layout& layout, std::uint64_t id, const submission_spec& spec,
    std::string_view pool);

/// Whether the submission's cell follows from its pool.
bool is_cell_of_pool(const submission_spec& spec);

/// The cells that may hold a submission of which the id and the pool are known,
/// the most likely first.
std::vector<cell_id> candidate_cells(
    const fleet_layout& layout, std::uint64_t id, std::string_view pool);

} // namespace dandeliontack
