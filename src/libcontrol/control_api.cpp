#include <dandeliontack/api_access.hpp>
#include <dandeliontack/config_json.hpp>
#include <dandeliontack/control_node.hpp>

#include <boost/json.hpp>

#include <charconv>
#include <map>
#include <memory>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

std::string hex(std::uint64_t value)
{
    return to_string(incarnation{0, value}).substr(16);
}

json::array to_json(const findings& found)
{
    json::array out;
    for (const auto& item : found)
        out.push_back(
            {{"place", item.file},
             {"line", item.line},
             {"key", item.key},
             {"message", item.message}});
    return out;
}

json::array pools_json(const config_state& config)
{
    json::array out;
    for (const auto& [name, pool] : config.pools)
        out.push_back(
            {{"name", name},
             {"revision", pool.revision},
             {"offset", pool.offset},
             {"hosts", json::value_from(pool.config.hosts)},
             {"budget_hosts", pool.config.budget_hosts}});
    return out;
}

json::array services_json(const config_state& config)
{
    json::array out;
    for (const auto& [key, service] : config.services)
        out.push_back(
            {{"name", key.name},
             {"schema_version", key.schema_version},
             {"revision", service.revision},
             {"offset", service.offset},
             {"pool", service.config.pool}});
    return out;
}

json::array waves_json(const config_state& config)
{
    json::array out;
    for (const auto& [name, wave] : config.waves)
        out.push_back(
            {{"name", name},
             {"revision", wave.revision},
             {"pools", json::value_from(wave.config.pools)},
             {"paused", wave.config.paused}});
    return out;
}

json::array teams_json(const config_state& config, const api_access& access)
{
    json::array out;
    for (const auto& [name, team] : config.teams)
        if (access.sees(name))
            out.push_back(
                {{"name", name},
                 {"revision", team.revision},
                 {"quota_processors", team.config.quota_processors},
                 {"quota_memory_mb", team.config.quota_memory_mb},
                 {"quota_accelerators", team.config.quota_accelerators}});
    return out;
}

json::array jobs_json(const config_state& config, const api_access& access)
{
    json::array out;
    for (const auto& [name, job] : config.jobs)
        if (access.sees(job.config.team))
            out.push_back(
                {{"name", name},
                 {"revision", job.revision},
                 {"team", job.config.team},
                 {"pool", job.config.pool},
                 {"cancelled", job.config.cancelled}});
    return out;
}

// The team that a value belongs to; empty for what all teams share.
template <class Config>
std::string owner_of(const Config& config)
{
    if constexpr (std::is_same_v<Config, team_config>)
        return config.name;
    else if constexpr (std::is_same_v<Config, job_config>)
        return config.team;
    else
        return {};
}

// Calls `visit` with each value in force that the access shows.
template <class Visit>
void for_each_value(
    const config_state& config, const api_access& access, Visit visit)
{
    const auto visit_all = [&](const auto& map) {
        for (const auto& [key, value] : map)
        {
            const auto owner = owner_of(value.config);
            if (owner.empty() || access.sees(owner))
                visit(value);
        }
    };
    visit_all(config.pools);
    visit_all(config.services);
    visit_all(config.waves);
    visit_all(config.teams);
    visit_all(config.jobs);
}

// Every value in force by its subject, for those who publish changes.
json::object
revisions_json(const config_state& config, const api_access& access)
{
    json::object out;
    for_each_value(config, access, [&](const auto& value) {
        out[subject_of(value.config)] = value.revision;
    });
    return out;
}

// The whole of every value in force, by its subject.
json::object values_json(const config_state& config, const api_access& access)
{
    json::object out;
    for_each_value(config, access, [&](const auto& value) {
        out[subject_of(value.config)] = json::object{
            {"revision", value.revision},
            {"offset", value.offset},
            {"value", json::parse(to_json_text(value.config))}};
    });
    return out;
}

json::array nodes_json(const membership_state& membership)
{
    json::array out;
    for (const auto& [node, known] : membership.nodes)
        out.push_back(
            {{"incarnation", to_string(node)},
             {"name", known.name},
             {"data_centre", known.data_centre},
             {"system_end", known.system_end},
             {"operators_end", known.operators_end}});
    return out;
}

json::array rejections_json(const order_state& order)
{
    json::array out;
    for (const auto& item : order.rejections)
        out.push_back(
            {{"offset", item.offset},
             {"writer", to_string(item.writer)},
             {"findings", to_json(item.found)}});
    return out;
}

json::object status_json(const control_node& node, const api_access& access)
{
    const auto& s = node.current();
    return {
        {"node", node.settings().node.name},
        {"incarnation", to_string(node.self())},
        {"ready", node.ready()},
        {"leads", node.leads()},
        {"term", node.term()},
        {"leader", to_string(s.membership.term.leader)},
        {"fenced", s.membership.fenced},
        {"gap", node.gap()},
        {"system_end", s.order.system_end},
        {"operators_end", s.order.operators_end},
        {"snapshot_end", s.order.snapshot_end},
        {"state_hash", hex(hash_of(s))},
        {"pools", pools_json(s.config)},
        {"services", services_json(s.config)},
        {"waves", waves_json(s.config)},
        {"teams", teams_json(s.config, access)},
        {"jobs", jobs_json(s.config, access)},
        {"revisions", revisions_json(s.config, access)},
        {"nodes", nodes_json(s.membership)},
        // Rejections may name the values of any team.
        {"rejections",
         access.sees_all() ? rejections_json(s.order) : json::array()},
        {"listed_hosts", node.hosts().size()}};
}

std::optional<incarnation> parse_incarnation(std::string_view text)
{
    constexpr std::size_t half = 16;
    incarnation value;
    if (text.size() != 2 * half)
        return std::nullopt;
    const auto parse = [](std::string_view digits, std::uint64_t& out) {
        const auto* end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, out, 16);
        return parsed.ec == std::errc{} && parsed.ptr == end;
    };
    if (!parse(text.substr(0, half), value.high) ||
        !parse(text.substr(half), value.low))
        return std::nullopt;
    return value;
}

http_response answer_json(const json::object& body)
{
    return make_response(
        http::status::ok, "application/json", json::serialize(body) + "\n");
}

http_response outcome_page(const control_node& node, std::string_view target)
{
    const auto writer = parse_incarnation(query_value(target, "writer"));
    const auto sequence_text = query_value(target, "sequence");
    std::uint64_t sequence = 0;
    std::from_chars(
        sequence_text.data(), sequence_text.data() + sequence_text.size(),
        sequence);
    if (!writer || sequence == 0)
        return make_problem(
            http::status::bad_request, outcome::not_run, "bad query",
            "writer must be 32 hexadecimal digits, sequence above 0");
    const auto known = node.outcome_of(*writer, sequence);
    if (!known)
        return answer_json({{"state", "pending"}});
    return answer_json(
        {{"state", known->accepted ? "accepted" : "rejected"},
         {"offset", known->offset},
         {"findings", to_json(known->found)}});
}

// The page of all values by who asks. Rendering goes through the whole
// configuration, so a crowd that asks gets what was rendered last.
class values_page
{
public:
    explicit values_page(const control_node& node) : node_(node) {}

    const std::string& text_for(const api_access& access)
    {
        const auto& order = node_.current().order;
        const std::pair at(order.system_end, order.operators_end);
        if (at != rendered_at_)
            texts_.clear();
        rendered_at_ = at;
        auto& text = texts_[access.team];
        if (text.empty())
            text =
                json::serialize(json::object{
                    {"values", values_json(node_.current().config, access)}}) +
                "\n";
        return text;
    }

private:
    const control_node& node_;
    std::pair<std::uint64_t, std::uint64_t> rendered_at_;
    // By team; there are as many as tokens.
    std::map<std::string, std::string> texts_;
};

} // namespace

http_server::handler make_control_api(const control_node& node)
{
    const auto values = std::make_shared<values_page>(node);
    return [&node,
            values](http_request request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        const auto path = target_path(target);
        // Whoever has no access was refused before; see with_tokens.
        const auto access =
            access_of(node.settings().api, request).value_or(api_access{"-"});
        if (path == "/v1/status")
            co_return answer_json(status_json(node, access));
        if (path == "/v1/values")
            co_return make_response(
                http::status::ok, "application/json", values->text_for(access));
        if (path == "/v1/outcome")
            co_return outcome_page(node, target);
        co_return make_problem(
            http::status::not_found, outcome::not_run, "no such page", path);
    };
}

} // namespace dandeliontack
