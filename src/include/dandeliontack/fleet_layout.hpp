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

/// A part of a deployment that decides by itself.
using cell_id = std::uint32_t;

/// The most cells: each takes eight topics of the hundred that the platform's
/// store allows.
inline constexpr cell_id most_cells = 10;

/// How a deployment is divided into cells. A cell has its own racks, and with
/// them its own machines of every pool, and its own submissions of every
/// queue; each of its pools is a shard with an owner of its own. Chosen once,
/// as submissions stay in the cell that accepted them.
struct fleet_layout
{
    cell_id cells = 1;
    /// The cell of each rack that was there when the layout was chosen.
    std::map<std::string, cell_id> racks;

    bool operator==(const fleet_layout&) const = default;
};

/// Pattern of load: a turn starts several thousand tasks a second in one pool,
/// more than the processor of one owner can order. Cells get equal shares of
/// the racks; `machines_per_cell` is what one owner of each pool can serve.
fleet_layout choose_layout(
    const std::vector<listed_machine>& machines, std::size_t machines_per_cell);

/// The cell of a host or a machine by its rack; without one by the host's id.
cell_id cell_of_host(
    const fleet_layout& layout, std::string_view rack, std::string_view host);

/// The cell of a submission of which nothing but the id is known.
cell_id home_cell(const fleet_layout& layout, std::uint64_t submission);

/// The cell that accepts a submission: the one of the rack that holds its
/// data; that of the pool's lasting tasks where it has any; else its home cell.
/// Pattern of load: a lasting step spreads its tasks over as many hosts, one on
/// each, which then can't leave the pool. In one cell such steps share them.
cell_id cell_of_submission(
    const fleet_layout& layout, std::uint64_t id, const submission_spec& spec,
    std::string_view pool);

/// The cells in which a submission may be of which the id and the pool are
/// known, the likeliest first.
std::vector<cell_id> cells_to_ask(
    const fleet_layout& layout, std::uint64_t id, std::string_view pool);

} // namespace dandeliontack
