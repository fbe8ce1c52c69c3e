#include "commands.hpp"

#include "publication.hpp"
#include <dandeliontack/config_file.hpp>
#include <dandeliontack/program.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace dandeliontack::tackctl
{

namespace json = boost::json;

namespace
{

std::optional<std::vector<config_event>> load(const std::string& path)
{
    return load_settings<std::vector<config_event>>(path, parse_config_file);
}

void print_status(const json::object& status)
{
    std::cout << "node " << status.at("node").as_string() << ", applied "
              << status.at("system_end") << " system and "
              << status.at("operators_end") << " operator records, state "
              << status.at("state_hash").as_string() << "\n";
    for (const auto& pool : status.at("pools").as_array())
        std::cout << "pool " << pool.at("name").as_string() << ": revision "
                  << pool.at("revision") << ", "
                  << pool.at("hosts").as_array().size() << " hosts, budget "
                  << pool.at("budget_hosts") << "\n";
    for (const auto& service : status.at("services").as_array())
        std::cout << "service " << service.at("name").as_string() << " "
                  << service.at("schema_version") << ": revision "
                  << service.at("revision") << ", pool "
                  << service.at("pool").as_string() << "\n";
    for (const auto& node : status.at("nodes").as_array())
        std::cout << "node " << node.at("name").as_string() << " in "
                  << node.at("data_centre").as_string() << "\n";
}

} // namespace

int check(const options& chosen, const std::vector<std::string>& arguments)
{
    const auto events = load(arguments.front());
    if (!events)
        return exit_bad_input;
    if (chosen.json)
    {
        std::cout << json::object{{"checked", events->size()}} << "\n";
        return exit_ok;
    }
    for (const auto& e : *events)
        std::cout << subject_of(e) << ": good\n";
    return exit_ok;
}

int publish(const options& chosen, const std::vector<std::string>& arguments)
{
    auto events = load(arguments.front());
    if (!events)
        return exit_bad_input;
    boost::asio::io_context context(1);
    publication work(context.get_executor(), chosen, std::move(*events));
    int code = exit_failed;
    boost::asio::co_spawn(
        context, work.run(), [&](std::exception_ptr error, int result) {
            if (error)
                std::rethrow_exception(error);
            code = result;
            context.stop();
        });
    context.run();
    return code;
}

int status(const options& chosen, const std::vector<std::string>& /*none*/)
{
    boost::asio::io_context context(1);
    http_connection connection(context.get_executor(), chosen.control);
    json_answer answer;
    boost::asio::co_spawn(
        context, get_json(connection, chosen, "/v1/status"),
        [&](std::exception_ptr, json_answer result) {
            answer = std::move(result);
        });
    context.run();
    if (!answer)
    {
        std::cerr << "no control process answers at "
                  << to_string(chosen.control) << "\n";
        return exit_unreachable;
    }
    if (chosen.json)
        std::cout << *answer << "\n";
    else
        print_status(*answer);
    return exit_ok;
}

} // namespace dandeliontack::tackctl
