#include <dandeliontack/api_access.hpp>
#include <dandeliontack/entry_settings.hpp>

#include <array>

namespace dandeliontack
{

namespace
{

constexpr double longest_ms = 3'600'000;
constexpr double most_bytes = 1024.0 * 1024 * 1024;

std::span<const field<control_link_settings>> control_fields()
{
    static const std::array table{field<control_link_settings>{
        .key = "address",
        .member = &control_link_settings::address,
        .required = true}};
    return table;
}

std::span<const field<callers_settings>> callers_fields()
{
    using row = field<callers_settings>;
    using s = callers_settings;
    static const std::array table{
        row{.key = "listen", .member = &s::listen, .required = true},
        row{.key = "header_bytes",
            .member = &s::header_bytes,
            .least = 512,
            .most = 1024 * 1024},
        row{.key = "body_bytes",
            .member = &s::body_bytes,
            .least = 1,
            .most = most_bytes},
        row{.key = "buffered_bytes",
            .member = &s::buffered_bytes,
            .least = 1024 * 1024,
            .most = most_bytes},
        row{.key = "connections",
            .member = &s::connections,
            .least = 1,
            .most = 100'000},
        row{.key = "idle", .member = &s::idle, .least = 10, .most = longest_ms},
        row{.key = "transfer",
            .member = &s::transfer,
            .least = 10,
            .most = longest_ms}};
    return table;
}

std::span<const field<upstreams_settings>> upstreams_fields()
{
    using row = field<upstreams_settings>;
    using s = upstreams_settings;
    static const std::array table{
        row{.key = "body_bytes",
            .member = &s::body_bytes,
            .least = 1,
            .most = most_bytes},
        row{.key = "entry_processes",
            .member = &s::entry_processes,
            .least = 1,
            .most = 64},
        row{.key = "entry_index",
            .member = &s::entry_index,
            .least = 0,
            .most = 63},
        row{.key = "retries", .member = &s::retries, .least = 0, .most = 10},
        row{.key = "queue", .member = &s::queue, .least = 0, .most = 100'000}};
    return table;
}

std::span<const field<tickets_settings>> tickets_fields()
{
    using row = field<tickets_settings>;
    using s = tickets_settings;
    static const std::array table{
        row{.key = "peers", .member = &s::peers},
        row{.key = "advertise", .member = &s::advertise},
        row{.key = "capacity",
            .member = &s::capacity,
            .least = 1,
            .most = 10'000'000},
        row{.key = "lifetime",
            .member = &s::lifetime,
            .least = 10,
            .most = 24 * longest_ms},
        row{.key = "answer_bytes",
            .member = &s::answer_bytes,
            .least = 0,
            .most = most_bytes}};
    return table;
}

void check_peers(
    const ini_document& document, const tickets_settings& tickets,
    findings& found)
{
    for (const auto& peer : tickets.peers)
        if (!parse_endpoint(peer) && !parse_endpoint(peer + ":0"))
            found.push_back(
                {document.file, 0, "tickets.peers",
                 "'" + peer + "' is not an IP number, nor one with a port"});
}

std::span<const field<stop_settings>> stop_fields()
{
    using row = field<stop_settings>;
    using s = stop_settings;
    static const std::array table{
        row{.key = "linger",
            .member = &s::linger,
            .least = 0,
            .most = longest_ms},
        row{.key = "patience",
            .member = &s::patience,
            .least = 0,
            .most = longest_ms}};
    return table;
}

using reader = section_reader<entry_settings>;
using all = entry_settings;

const std::array readers{
    reader{"node", true, read_member<&all::node, node_fields>},
    reader{"control", true, read_member<&all::control, control_fields>},
    reader{"callers", true, read_member<&all::callers, callers_fields>},
    reader{"upstreams", false, read_member<&all::upstreams, upstreams_fields>},
    reader{"tickets", false, read_member<&all::tickets, tickets_fields>},
    reader{"stop", false, read_member<&all::stop, stop_fields>},
    reader{"admin", true, read_member<&all::admin, admin_fields>},
    reader{"api", false, read_member<&all::api, api_fields>},
    reader{"logging", false, read_member<&all::logging, logging_fields>},
    reader{"limits", false, read_member<&all::limits, machine_limits_fields>}};

} // namespace

checked<entry_settings> parse_entry_settings(const ini_document& document)
{
    findings found;
    auto settings = read_sections<entry_settings>(document, readers, found);
    check_clashes(
        document,
        {{"callers", "listen", settings.callers.listen},
         {"admin", "listen", settings.admin.listen}},
        found);
    check_peers(document, settings.tickets, found);
    if (settings.upstreams.entry_index >= settings.upstreams.entry_processes)
        found.push_back(
            {document.file, 0, "upstreams.entry_index",
             "must be below upstreams.entry_processes"});
    check_tokens(document, settings.api, found);
    if (!found.empty())
        return found;
    return settings;
}

std::vector<std::string> entry_setting_keys()
{
    return setting_keys<entry_settings>(readers);
}

} // namespace dandeliontack
