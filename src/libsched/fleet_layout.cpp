#include <dandeliontack/fleet_layout.hpp>
#include <dandeliontack/stable_hash.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

cell_id cell_of_name(const fleet_layout& layout, std::string_view name)
{
    return static_cast<cell_id>(stable_hash(name) % layout.cells);
}

} // namespace

fleet_layout choose_layout(
    const std::vector<listed_machine>& machines, std::size_t machines_per_cell)
{
    std::map<std::string, std::size_t> sizes;
    for (const auto& machine : machines)
        if (!machine.rack.empty())
            ++sizes[machine.rack];
    // Rounded to nearest, so that a cell never has less than two thirds of
    // `machines_per_cell`.
    const auto wanted =
        (machines.size() + machines_per_cell / 2) / machines_per_cell;
    fleet_layout layout;
    layout.cells =
        static_cast<cell_id>(std::clamp<std::size_t>(wanted, 1, max_cells));
    // Racks with adjacent names are in the same data centre. Assigned in order
    // of name to the smallest cell, every data centre is spread over all cells.
    std::vector<std::size_t> cell_sizes(layout.cells);
    for (const auto& [rack, size] : sizes)
    {
        const auto smallest = std::ranges::min_element(cell_sizes);
        layout.racks[rack] =
            static_cast<cell_id>(smallest - cell_sizes.begin());
        *smallest += size;
    }
    return layout;
}

cell_id cell_of_host(
    const fleet_layout& layout, std::string_view rack, std::string_view host)
{
    if (rack.empty())
        return cell_of_name(layout, host);
    const auto known = layout.racks.find(std::string(rack));
    return known != layout.racks.end() ? known->second
                                       : cell_of_name(layout, rack);
}

cell_id home_cell(const fleet_layout& layout, std::uint64_t submission)
{
    return cell_of_name(layout, submission_name(submission));
}

bool is_cell_of_pool(const submission_spec& spec)
{
    return std::ranges::all_of(
               spec.steps, &std::string::empty, &step_spec::rack) &&
           std::ranges::any_of(spec.steps, &step_spec::long_running);
}

cell_id cell_of_submission(
    const fleet_layout& layout, std::uint64_t id, const submission_spec& spec,
    std::string_view pool)
{
    const auto step = std::ranges::find_if(
        spec.steps, [](const step_spec& s) { return !s.rack.empty(); });
    if (step != spec.steps.end())
        return cell_of_host(layout, step->rack, {});
    return is_cell_of_pool(spec) ? cell_of_name(layout, pool)
                                 : home_cell(layout, id);
}

std::vector<cell_id> candidate_cells(
    const fleet_layout& layout, std::uint64_t id, std::string_view pool)
{
    std::vector<cell_id> order{
        home_cell(layout, id), cell_of_name(layout, pool)};
    for (cell_id cell = 0; cell < layout.cells; ++cell)
        order.push_back(cell);
    std::vector<cell_id> out;
    std::ranges::copy_if(order, std::back_inserter(out), [&](cell_id cell) {
        return std::ranges::find(out, cell) == out.end();
    });
    return out;
}

} // namespace dandeliontack
