#include "cluster.hpp"

#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <stdexcept>
#include <thread>

namespace dandeliontack::harness
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr auto call_timeout = std::chrono::seconds(20);
constexpr auto poll_interval = std::chrono::milliseconds(5);

http_request
make_request(http::verb method, const endpoint& to, const std::string& target)
{
    http_request request{method, target, 11};
    request.set(http::field::host, to_string(to));
    return request;
}

std::string node_section(const std::string& name)
{
    return "[node]\nname = " + name + "\ndata_centre = dc-1\n";
}

} // namespace

http_response call(const endpoint& to, http_request request)
{
    asio::io_context context(1);
    http_connection connection(context.get_executor(), to);
    exchange_result result = exchange_error{};
    request.prepare_payload();
    asio::co_spawn(
        context, connection.exchange(std::move(request), call_timeout),
        [&](std::exception_ptr, exchange_result got) {
            result = std::move(got);
        });
    context.run();
    if (auto* error = std::get_if<exchange_error>(&result))
        throw std::runtime_error(error->reason);
    return std::get<http_response>(std::move(result));
}

http_response get(const endpoint& to, const std::string& target)
{
    return call(to, make_request(http::verb::get, to, target));
}

http_response
post(const endpoint& to, const std::string& target, std::string body)
{
    auto request = make_request(http::verb::post, to, target);
    request.body() = std::move(body);
    return call(to, std::move(request));
}

json::object get_json(const endpoint& to, const std::string& target)
{
    return json::parse(get(to, target).body()).as_object();
}

std::string send_raw(const endpoint& to, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(to.address), to.port});
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ignored);
    return answer;
}

bool eventually(
    const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(poll_interval);
    }
    return condition();
}

temporary_folder::temporary_folder()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "tack-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("can't make a temporary folder");
    path_ = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string temporary_folder::write(
    const std::string& name, const std::string& content) const
{
    const auto path = path_ / name;
    std::ofstream(path) << content;
    return path.string();
}

cluster::cluster(const std::vector<std::string>& platform_flags)
    : platform_(
          "testsuite/standins/platform/standin-platform", platform_flags,
          folder.path() / "platform.log")
{
    platform_address = platform_.address_of("platform");
    second_address = platform_.address_of("second");
    control_platform = platform_address;
}

void cluster::add_worker(
    const std::string& name, const std::vector<std::string>& flags,
    const json::object& listed_as)
{
    std::vector<std::string> all{"--name=" + name};
    all.insert(all.end(), flags.begin(), flags.end());
    child_process process(
        "testsuite/standins/worker/standin-worker", all,
        folder.path() / (name + ".log"));
    worker_addresses[name] = process.address_of("worker");
    workers.insert_or_assign(name, std::move(process));
    list_worker(name, "live", listed_as);
}

void cluster::list_worker(
    const std::string& name, const std::string& listed,
    const json::object& listed_as)
{
    json::object host{
        {"address", to_string(worker_addresses.at(name))},
        {"state", listed},
        {"data_centre", "dc-1"},
        {"slots", 8},
        {"connections", 64}};
    for (const auto& member : listed_as)
        host[member.key()] = member.value();
    auto request =
        make_request(http::verb::put, platform_address, "/hosts/" + name);
    request.body() = json::serialize(host);
    call(platform_address, std::move(request));
}

control_process&
cluster::add_control(const std::string& name, const std::string& extra)
{
    const auto platform = to_string(control_platform);
    const auto settings = folder.write(
        name + ".ini",
        node_section(name) + "[log]\naddress = " + platform +
            "\n[hosts]\naddress = " + platform +
            "\ninterval = " + std::to_string(host_list_interval.count()) +
            "ms\n"
            "[grpc]\nlisten = 127.0.0.1:0\n"
            "[admin]\nlisten = 127.0.0.1:0\n" +
            api_section + extra);
    child_process process(
        "src/tack-control/tack-control", {"--settings=" + settings},
        folder.path() / (name + ".log"));
    const auto grpc = process.address_of("grpc");
    const auto admin = process.address_of("admin");
    return controls
        .insert_or_assign(
            name, control_process{std::move(process), admin, grpc})
        .first->second;
}

entry_process& cluster::add_entry(
    const std::string& name, const endpoint& control_grpc,
    const std::string& extra)
{
    const auto settings = folder.write(
        name + ".ini",
        node_section(name) + "[control]\naddress = " + to_string(control_grpc) +
            "\n[callers]\nlisten = 127.0.0.1:0\n"
            "[admin]\nlisten = 127.0.0.1:0\n" +
            api_section +
            (extra.starts_with("[stop]") ? std::string()
                                         : "[stop]\nlinger = 50ms\n") +
            extra);
    child_process process(
        "src/tack-entry/tack-entry", {"--settings=" + settings},
        folder.path() / (name + ".log"));
    const auto callers = process.address_of("callers");
    const auto admin = process.address_of("admin");
    return entries
        .insert_or_assign(
            name, entry_process{std::move(process), callers, admin})
        .first->second;
}

void cluster::set_fault(const std::string& query) const
{
    post(platform_address, "/fault?" + query);
}

program_result
cluster::tackctl(const endpoint& admin, std::vector<std::string> arguments)
{
    arguments.insert(
        arguments.begin(), {"--log=" + to_string(platform_address),
                            "--control=" + to_string(admin)});
    return run_program(
        "src/tackctl/tackctl", arguments, folder.path() / "tackctl.log");
}

void cluster::publish(const endpoint& admin, const std::string& configuration)
{
    const auto file = folder.write(
        "published-" + std::to_string(++published_) + ".ini", configuration);
    const auto result = tackctl(admin, {"publish", file});
    if (result.exit_code != 0)
        throw std::runtime_error(
            "publishing failed: " + result.output + result.errors);
}

bool routes_to(
    const entry_process& entry, const std::string& service,
    std::size_t upstreams)
{
    return eventually([&] {
        const auto status = get_json(entry.admin, "/v1/status");
        const auto& routes = status.at("routes").as_array();
        return std::ranges::any_of(routes, [&](const json::value& route) {
            return route.at("service").as_string() == service &&
                   route.at("upstreams").as_array().size() == upstreams;
        });
    });
}

} // namespace dandeliontack::harness
