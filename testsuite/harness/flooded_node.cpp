#include "flooded_node.hpp"

#include <boost/beast/http.hpp>

#include <stdexcept>

namespace dandeliontack::harness
{

namespace http = boost::beast::http;

namespace
{

constexpr std::string_view configuration = R"({"version":1,
"routes":[{"name":"checks","host":"reg.example","pathPrefix":"/checks/",
"type":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":0,
"service":"pool","maxAttempts":2,"stretch":2.0}],
"services":[{"name":"pool","admissionCheck":true,"standby":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}})";

} // namespace

flooded_node::flooded_node(const std::string& limits)
    : platform_(
          "testsuite/standins/fleet/standin-fleet", {},
          folder_.path() / "platform.err"),
      platform_address_(platform_.address_of("platform")),
      node_(start_node(limits)),
      callers_(node_.address_of("callers"))
{
    if (!serves())
        throw std::runtime_error("the node doesn't come to serve");
    machine_.emplace(node_.pid());
}

child_process flooded_node::start_node(const std::string& limits) const
{
    post(platform_address_, "/configuration", std::string(configuration));
    const auto platform = dandeliontack::to_string(platform_address_);
    const auto path = folder_.write(
        "node.ini", "[node]\nname = n1\ndata_centre = dc-1\n"
                    "[listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n"
                    "metrics = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
                    "[store]\naddress = " +
                        platform + "\n[machines]\naddress = " + platform +
                        "\n" + limits);
    return {
        "src/tack-node/tack-node",
        {"--settings", path},
        folder_.path() / "node.err"};
}

bool flooded_node::serves()
{
    return eventually([&] {
        try
        {
            http_request request(http::verb::get, "/checks/", 11);
            request.set(http::field::host, "reg.example");
            return call(callers_, std::move(request)).result() ==
                   http::status::ok;
        }
        catch (const std::runtime_error&)
        {
            return false;
        }
    });
}

} // namespace dandeliontack::harness
