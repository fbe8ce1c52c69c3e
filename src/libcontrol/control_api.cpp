#include <dandeliontack/control_node.hpp>

#include <boost/json.hpp>

#include <charconv>

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

// Every value in force by its subject, for those who publish changes.
json::object revisions_json(const config_state& config)
{
    json::object out;
    const auto add_all = [&](const auto& map) {
        for (const auto& [key, value] : map)
            out[subject_of(value.config)] = value.revision;
    };
    add_all(config.pools);
    add_all(config.services);
    add_all(config.waves);
    add_all(config.teams);
    add_all(config.jobs);
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

json::object status_json(const control_node& node)
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
        {"revisions", revisions_json(s.config)},
        {"nodes", nodes_json(s.membership)},
        {"rejections", rejections_json(s.order)},
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

} // namespace

http_server::handler make_control_api(const control_node& node)
{
    return [&node](http_request request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        const auto path = target_path(target);
        if (path == "/v1/status")
            co_return answer_json(status_json(node));
        if (path == "/v1/outcome")
            co_return outcome_page(node, target);
        co_return make_problem(
            http::status::not_found, outcome::not_run, "no such page", path);
    };
}

} // namespace dandeliontack
