#include <dandeliontack/api_access.hpp>
#include <dandeliontack/control_settings.hpp>

#include <array>

namespace dandeliontack
{

namespace
{

constexpr double longest_ms = 600'000;

std::span<const field<log_settings>> log_fields()
{
    static const std::array table{
        field<log_settings>{
            .key = "address",
            .member = &log_settings::address,
            .required = true},
        field<log_settings>{
            .key = "timeout",
            .member = &log_settings::timeout,
            .least = 1,
            .most = longest_ms},
        field<log_settings>{
            .key = "poll",
            .member = &log_settings::poll,
            .least = 1,
            .most = longest_ms}};
    return table;
}

std::span<const field<hosts_settings>> hosts_fields()
{
    static const std::array table{
        field<hosts_settings>{
            .key = "address",
            .member = &hosts_settings::address,
            .required = true},
        field<hosts_settings>{
            .key = "interval",
            .member = &hosts_settings::interval,
            .least = 10,
            .most = longest_ms},
        field<hosts_settings>{
            .key = "timeout",
            .member = &hosts_settings::timeout,
            .least = 1,
            .most = longest_ms}};
    return table;
}

std::span<const field<grpc_settings>> grpc_fields()
{
    static const std::array table{field<grpc_settings>{
        .key = "listen", .member = &grpc_settings::listen, .required = true}};
    return table;
}

std::span<const field<leadership_settings>> leadership_fields()
{
    using row = field<leadership_settings>;
    const auto duration =
        [](std::string_view key,
           std::chrono::milliseconds lease_settings::* member) {
            return row{
                .key = key, .member = member, .least = 1, .most = longest_ms};
        };
    static const std::array table{
        duration("heartbeat", &lease_settings::heartbeat),
        duration("lease", &lease_settings::lease),
        duration("takeover", &lease_settings::takeover),
        duration("takeover_step", &lease_settings::takeover_step),
        duration("member_timeout", &lease_settings::member_timeout)};
    return table;
}

std::span<const field<snapshot_settings>> snapshot_fields()
{
    static const std::array table{
        field<snapshot_settings>{
            .key = "records",
            .member = &snapshot_settings::records,
            .least = 1},
        field<snapshot_settings>{
            .key = "interval",
            .member = &snapshot_settings::interval,
            .least = 1}};
    return table;
}

// Each of these must be longer than the one before it.
void check_leadership(
    const ini_document& document, const leadership_settings& s, findings& found)
{
    if (s.lease <= s.heartbeat)
        found.push_back(
            {document.file, 0, "leadership.lease",
             "must be longer than heartbeat"});
    if (s.takeover <= s.lease)
        found.push_back(
            {document.file, 0, "leadership.takeover",
             "must be longer than lease"});
    if (s.member_timeout <= s.takeover)
        found.push_back(
            {document.file, 0, "leadership.member_timeout",
             "must be longer than takeover"});
}

using reader = section_reader<control_settings>;

const std::array readers{
    reader{"node", true, read_member<&control_settings::node, node_fields>},
    reader{"log", true, read_member<&control_settings::log, log_fields>},
    reader{"hosts", true, read_member<&control_settings::hosts, hosts_fields>},
    reader{"grpc", true, read_member<&control_settings::grpc, grpc_fields>},
    reader{
        "leadership", false,
        read_member<&control_settings::leadership, leadership_fields>},
    reader{
        "snapshots", false,
        read_member<&control_settings::snapshots, snapshot_fields>},
    reader{"admin", true, read_member<&control_settings::admin, admin_fields>},
    reader{"api", false, read_member<&control_settings::api, api_fields>},
    reader{
        "logging", false,
        read_member<&control_settings::logging, logging_fields>},
    reader{
        "limits", false,
        read_member<&control_settings::limits, machine_limits_fields>}};

} // namespace

checked<control_settings> parse_control_settings(const ini_document& document)
{
    findings found;
    auto settings = read_sections<control_settings>(document, readers, found);
    check_clashes(
        document,
        {{"grpc", "listen", settings.grpc.listen},
         {"admin", "listen", settings.admin.listen}},
        found);
    check_leadership(document, settings.leadership, found);
    check_tokens(document, settings.api, found);
    if (!found.empty())
        return found;
    return settings;
}

std::vector<std::string> control_setting_keys()
{
    return setting_keys<control_settings>(readers);
}

} // namespace dandeliontack
