#include <dandeliontack/fleet_layout.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace dandeliontack
{

namespace
{

constexpr std::size_t rack_size = 12;
constexpr std::size_t machines_per_cell = 140;

std::vector<listed_machine> fleet_of(std::size_t count)
{
    std::vector<listed_machine> machines(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        machines[i].name = "m-" + std::to_string(i);
        machines[i].rack = "r" + std::to_string(i % 5) + "-" +
                           std::to_string(i / 5 / rack_size);
    }
    return machines;
}

} // namespace

TEST(fleet_layout, small_fleet_has_single_cell)
{
    EXPECT_EQ(choose_layout({}, machines_per_cell).cells, 1U);
    EXPECT_EQ(choose_layout(fleet_of(49), machines_per_cell).cells, 1U);
}

TEST(fleet_layout, cell_sizes_differ_by_at_most_one_rack)
{
    const auto machines = fleet_of(1100);
    const auto layout = choose_layout(machines, machines_per_cell);
    ASSERT_EQ(layout.cells, 8U);
    std::vector<std::size_t> sizes(layout.cells);
    for (const auto& machine : machines)
        ++sizes[cell_of_host(layout, machine.rack, machine.host)];
    const auto [least, most] = std::ranges::minmax(sizes);
    EXPECT_LE(most - least, rack_size);
}

TEST(fleet_layout, submissions_are_spread_evenly_over_cells)
{
    const auto layout = choose_layout(fleet_of(1100), machines_per_cell);
    std::vector<std::size_t> sizes(layout.cells);
    constexpr std::uint64_t count = 8000;
    for (std::uint64_t id = 1; id <= count; ++id)
        ++sizes[home_cell(layout, id * 0x9e3779b97f4a7c15ULL)];
    const auto [least, most] = std::ranges::minmax(sizes);
    EXPECT_GT(least, count / layout.cells * 9 / 10);
    EXPECT_LT(most, count / layout.cells * 11 / 10);
}

TEST(fleet_layout, submission_with_data_rack_goes_to_cell_of_rack)
{
    const auto layout = choose_layout(fleet_of(1100), machines_per_cell);
    submission_spec spec;
    spec.steps.resize(2);
    EXPECT_EQ(
        cell_of_submission(layout, 7, spec, "pool"), home_cell(layout, 7));
    spec.steps[1].rack = "r3-2";
    EXPECT_EQ(
        cell_of_submission(layout, 7, spec, "pool"),
        cell_of_host(layout, "r3-2", {}));
}

TEST(fleet_layout, long_running_submissions_of_pool_share_cell)
{
    const auto layout = choose_layout(fleet_of(1100), machines_per_cell);
    submission_spec spec;
    spec.steps.resize(1);
    spec.steps[0].long_running = true;
    for (std::uint64_t id = 1; id <= 100; ++id)
        EXPECT_EQ(
            cell_of_submission(layout, id, spec, "pool"),
            cell_of_submission(layout, 0, spec, "pool"));
}

TEST(fleet_layout, every_cell_is_listed_once_most_likely_first)
{
    const auto layout = choose_layout(fleet_of(1100), machines_per_cell);
    auto order = candidate_cells(layout, 7, "pool");
    submission_spec service;
    service.steps.resize(1);
    service.steps[0].long_running = true;
    EXPECT_EQ(order[0], home_cell(layout, 7));
    const auto second = cell_of_submission(layout, 7, service, "pool");
    EXPECT_TRUE(order[0] == second || order[1] == second);
    std::ranges::sort(order);
    std::vector<cell_id> all(layout.cells);
    std::ranges::generate(all, [next = 0U]() mutable { return next++; });
    EXPECT_EQ(order, all);
}

TEST(fleet_layout, unknown_rack_maps_to_valid_cell)
{
    const auto layout = choose_layout(fleet_of(1100), machines_per_cell);
    EXPECT_LT(cell_of_host(layout, "r9-99", "i-1"), layout.cells);
    EXPECT_LT(cell_of_host(layout, "", "i-1"), layout.cells);
}

} // namespace dandeliontack
