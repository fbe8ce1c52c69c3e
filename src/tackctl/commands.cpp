#include "commands.hpp"

#include "publication.hpp"
#include <dandeliontack/config_file.hpp>
#include <dandeliontack/http_get.hpp>
#include <dandeliontack/program.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace dandeliontack::tackctl
{

namespace json = boost::json;

std::optional<std::vector<config_event>>
load_configuration(const std::string& path)
{
    return load_settings<std::vector<config_event>>(path, parse_config_file);
}

std::optional<json::object>
fetch(const options& chosen, const std::string& target)
{
    auto answer =
        get_json_page({chosen.control, target, chosen.token, chosen.timeout});
    if (!answer)
        std::cerr << "no control process answers at "
                  << to_string(chosen.control)
                  << (chosen.token.empty() ? ", or it needs a token\n"
                                           : ", or the token is not its\n");
    return answer;
}

int check(const options& chosen, const std::vector<std::string>& arguments)
{
    const auto events = load_configuration(arguments.front());
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
    auto events = load_configuration(arguments.front());
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

} // namespace dandeliontack::tackctl
