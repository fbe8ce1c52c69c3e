#include "flooded_system.hpp"

#include <boost/beast/http.hpp>

#include <stdexcept>

namespace dandeliontack::harness
{

namespace http = boost::beast::http;

namespace
{

bool answers(const endpoint& where, const std::string& target)
{
    return eventually([&] {
        try
        {
            return get(where, target).result() == http::status::ok;
        }
        catch (const std::runtime_error&)
        {
            return false;
        }
    });
}

} // namespace

flooded_system::flooded_system()
{
    const auto limits = small_machine::limits_section();
    system_.add_worker("w1");
    const auto& control = system_.add_control("control-1", limits);
    system_.add_entry("entry-1", control.grpc, limits);
    system_.publish(
        control.admin, "[pool a]\nhosts = w1\n[service citations]\npool = a\n");
    if (!routes_to(system_.entries.at("entry-1"), "citations", 1) ||
        !entry_serves())
        throw std::runtime_error("the system doesn't come to serve");
    entry_.emplace(system_.entries.at("entry-1").process.pid());
    control_.emplace(control.process.pid());
}

void flooded_system::publish_services(unsigned count)
{
    std::string configuration;
    for (unsigned i = 0; i < count; ++i)
        configuration += "[service s" + std::to_string(i) +
                         std::string(50, 'x') + "]\npool = a\n";
    system_.publish(control_address("admin"), configuration);
    if (!eventually([&] {
            return get_json(control_address("admin"), "/v1/status")
                       .at("services")
                       .as_array()
                       .size() > count;
        }))
        throw std::runtime_error("the services don't come into force");
}

endpoint flooded_system::entry_address(const std::string& name)
{
    return system_.entries.at("entry-1").process.address_of(name);
}

endpoint flooded_system::control_address(const std::string& name)
{
    return system_.controls.at("control-1").process.address_of(name);
}

bool flooded_system::entry_serves()
{
    return answers(entry_address("callers"), "/services/citations/ok");
}

bool flooded_system::control_serves()
{
    const auto& entry = system_.add_entry(
        "entry-after-" + std::to_string(++started_), control_address("grpc"));
    return answers(control_address("admin"), "/v1/status") &&
           routes_to(entry, "citations", 1);
}

} // namespace dandeliontack::harness
