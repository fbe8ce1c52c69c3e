#include <dandeliontack/tack_node_settings.hpp>

#include <algorithm>
#include <array>

namespace dandeliontack
{

namespace
{

// The longest record of a part of a submission fits (`tasks_per_part`).
constexpr double min_record_bytes = 128.0 * 1024;
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
constexpr double max_ms = 3'600'000;
constexpr double max_seconds = 86'400;
constexpr double max_bytes = 1024.0 * 1024 * 1024;

std::span<const field<node_listen_settings>> listen_fields()
{
    using row = field<node_listen_settings>;
    using s = node_listen_settings;
    static const std::array table{
        row{.key = "callers", .member = &s::callers, .required = true},
        row{.key = "readiness", .member = &s::readiness, .required = true},
        row{.key = "peers", .member = &s::peers, .required = true},
        row{.key = "metrics", .member = &s::metrics, .required = true}};
    return table;
}

std::span<const field<node_store_settings>> store_fields()
{
    using row = field<node_store_settings>;
    using s = node_store_settings;
    static const std::array table{
        row{.key = "address", .member = &s::address, .required = true},
        row{.key = "partitions",
            .member = &s::partitions,
            .least = 1,
            .most = 10'000},
        row{.key = "record_bytes",
            .member = &s::record_bytes,
            .least = min_record_bytes,
            .most = max_bytes},
        row{.key = "call_bytes",
            .member = &s::call_bytes,
            .least = 1024,
            .most = max_bytes},
        row{.key = "read_mb_per_second",
            .member = &s::read_mb_per_second,
            .most = 1'000'000}};
    return table;
}

std::span<const field<node_machines_settings>> machines_fields()
{
    using row = field<node_machines_settings>;
    using s = node_machines_settings;
    static const std::array table{
        row{.key = "address", .member = &s::address, .required = true},
        row{.key = "move_seconds",
            .member = &s::move_seconds,
            .most = max_seconds},
        row{.key = "upkeep_seconds",
            .member = &s::upkeep_seconds,
            .most = max_seconds},
        row{.key = "orders_per_second",
            .member = &s::orders_per_second,
            .least = 0.1,
            .most = 1'000'000},
        row{.key = "machines_per_cell",
            .member = &s::machines_per_cell,
            .least = 1,
            .most = 1'000'000}};
    return table;
}

std::span<const field<node_advice_settings>> advice_fields()
{
    static const std::array table{field<node_advice_settings>{
        .key = "address", .member = &node_advice_settings::address}};
    return table;
}

std::span<const field<node_placement_settings>> placement_fields()
{
    static const std::array table{field<node_placement_settings>{
        .key = "look_ahead", .member = &node_placement_settings::look_ahead}};
    return table;
}

std::span<const field<node_bounds_settings>> bounds_fields()
{
    using row = field<node_bounds_settings>;
    using s = node_bounds_settings;
    static const std::array table{
        row{.key = "stop_ms", .member = &s::stop_ms, .most = max_ms},
        row{.key = "hold_max_ms",
            .member = &s::hold_max_ms,
            .least = 1000,
            .most = max_ms},
        row{.key = "status_seconds",
            .member = &s::status_seconds,
            .most = max_seconds},
        row{.key = "grace_seconds",
            .member = &s::grace_seconds,
            .most = max_seconds},
        row{.key = "lease_ms", .member = &s::lease_ms, .most = max_ms},
        row{.key = "config_ms", .member = &s::config_ms, .most = max_ms},
        row{.key = "balance_ms",
            .member = &s::balance_ms,
            .least = 0,
            .most = max_ms}};
    return table;
}

std::span<const field<node_scheduling_settings>> scheduling_fields()
{
    using s = node_scheduling_settings;
    static const std::array table{field<node_scheduling_settings>{
        .key = "avoid_slow_hosts", .member = &s::avoid_slow_hosts}};
    return table;
}

std::span<const field<node_limits_settings>> limits_fields()
{
    using s = node_limits_settings;
    static const auto table = [] {
        auto rows = inherited_fields<s>(machine_limits_fields());
        rows.push_back(
            {.key = "cpu_share",
             .member = &s::cpu_share,
             .least = 0.001,
             .most = 1});
        rows.push_back(
            {.key = "cores", .member = &s::cores, .least = 1, .most = 4096});
        return rows;
    }();
    return table;
}

using reader = section_reader<tack_node_settings>;
using root_settings = tack_node_settings;

const std::array readers{
    reader{"node", true, read_member<&root_settings::node, node_fields>},
    reader{"listen", true, read_member<&root_settings::listen, listen_fields>},
    reader{"store", true, read_member<&root_settings::store, store_fields>},
    reader{
        "machines", true,
        read_member<&root_settings::machines, machines_fields>},
    reader{"advice", false, read_member<&root_settings::advice, advice_fields>},
    reader{
        "placement", false,
        read_member<&root_settings::placement, placement_fields>},
    reader{"bounds", false, read_member<&root_settings::bounds, bounds_fields>},
    reader{
        "scheduling", false,
        read_member<&root_settings::scheduling, scheduling_fields>},
    reader{
        "limits", false, read_member<&root_settings::limits, limits_fields>}};

std::chrono::milliseconds milliseconds_of(double value)
{
    return std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(value));
}

} // namespace

checked<tack_node_settings>
parse_tack_node_settings(const ini_document& document)
{
    findings found;
    auto settings = read_sections<tack_node_settings>(document, readers, found);
    check_clashes(
        document,
        {{"listen", "callers", settings.listen.callers},
         {"listen", "readiness", settings.listen.readiness},
         {"listen", "peers", settings.listen.peers},
         {"listen", "metrics", settings.listen.metrics}},
        found);
    if (!settings.advice.address.empty() &&
        !parse_endpoint(settings.advice.address))
        found.push_back(
            {document.file, 0, "advice.address",
             "must be an IP address with a port, or empty"});
    if (!found.empty())
        return found;
    return settings;
}

std::vector<std::string> tack_node_setting_keys()
{
    return setting_keys<tack_node_settings>(readers);
}

std::chrono::milliseconds machine_lead_of(const tack_node_settings& settings)
{
    // Time beside the move itself: one cycle of the fleet duty, storing the
    // order, and the new host's list entry, record and first response.
    constexpr auto move_overhead = std::chrono::milliseconds(600);
    return milliseconds_of(settings.machines.move_seconds * 1000) +
           move_overhead;
}

std::uint64_t kept_bytes_of(const machine_limits& limits)
{
    // What the process uses before it serves anyone, at most a half.
    constexpr std::uint64_t process_mb = 16;
    const auto rest =
        limits.memory_mb - std::min(process_mb, limits.memory_mb / 2);
    return rest * bytes_per_mb * 3 / 8;
}

std::uint64_t decoded_bytes_of(const machine_limits& limits)
{
    constexpr std::uint64_t largest_submission_bytes = 2 * bytes_per_mb;
    constexpr std::uint64_t memory_divisor = 32;
    return std::max(
        largest_submission_bytes,
        limits.memory_mb * bytes_per_mb / memory_divisor);
}

pool_terms pool_terms_of(const tack_node_settings& settings)
{
    // Finished submissions are kept for longer than callers may ask for them.
    constexpr auto retention_margin = std::chrono::seconds(60);
    pool_terms terms;
    const auto& bounds = settings.bounds;
    terms.max_lease = milliseconds_of(bounds.hold_max_ms);
    terms.leases.lease = std::min(terms.leases.lease, terms.max_lease);
    terms.watch_pace = settings.scheduling.avoid_slow_hosts;
    terms.stop_bound = milliseconds_of(bounds.stop_ms);
    // So that the state of one task fits a record with room to spare.
    terms.max_checkpoint = settings.store.record_bytes / 4;
    terms.look_ahead = settings.placement.look_ahead;
    terms.finished_retention =
        std::chrono::round<std::chrono::milliseconds>(
            std::chrono::duration<double>(bounds.status_seconds)) +
        retention_margin;
    return terms;
}

} // namespace dandeliontack
