#pragma once

#include <dandeliontack/http.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace dandeliontack::standins
{

/// What the platform does to hosts when told, by POST /hosts/NAME/commands:
/// `drain` lists a host as leaving, `reboot` as gone until it is back, and
/// `restore` as live. A host listed with `"returns": false` stays away. A
/// command older than the host's last, by (term, offset), is refused with 409;
/// a second copy does nothing.
class host_commands
{
public:
    using host_map = std::map<std::string, boost::json::object>;

    /// `hosts` must outlive the object.
    host_commands(
        boost::asio::any_io_executor executor, host_map& hosts,
        std::chrono::milliseconds reboot_time)
        : executor_(std::move(executor)),
          hosts_(hosts),
          reboot_time_(reboot_time)
    {}

    http_response take(const std::string& path, const std::string& body)
    {
        namespace http = boost::beast::http;
        const std::string prefix = "/hosts/";
        const std::string suffix = "/commands";
        const auto name = path.substr(
            prefix.size(), path.size() - prefix.size() - suffix.size());
        const auto host = hosts_.find(name);
        if (host == hosts_.end())
            return make_response(http::status::not_found, "text/plain", "");
        const auto command = boost::json::parse(body).as_object();
        const std::pair fence{
            command.at("term").to_number<std::uint64_t>(),
            command.at("offset").to_number<std::uint64_t>()};
        auto& last = fences_[name];
        if (fence < last)
            return make_response(http::status::conflict, "text/plain", "");
        if (std::exchange(last, fence) != fence)
            carry_out(name, std::string(command.at("action").as_string()));
        return make_response(http::status::ok, "text/plain", "");
    }

    /// All commands carried out: `host`, `action`, and how many hosts were
    /// listed as live right after.
    const boost::json::array& history() const
    {
        return history_;
    }

private:
    void carry_out(const std::string& name, const std::string& action)
    {
        auto& host = hosts_.at(name);
        if (action == "drain")
            host["state"] = "leaving";
        if (action == "restore")
            host["state"] = "live";
        if (action == "reboot")
            reboot(name);
        const auto live = std::ranges::count_if(hosts_, [](const auto& item) {
            return item.second.at("state").as_string() == "live";
        });
        history_.push_back(
            {{"host", name}, {"action", action}, {"live", live}});
    }

    void reboot(const std::string& name)
    {
        auto& host = hosts_.at(name);
        host["state"] = "gone";
        const auto* returns = host.if_contains("returns");
        if (returns && !returns->as_bool())
            return;
        auto timer = std::make_shared<boost::asio::steady_timer>(
            executor_, reboot_time_);
        timer->async_wait(
            [this, name, timer](auto) { hosts_.at(name)["state"] = "live"; });
    }

    boost::asio::any_io_executor executor_;
    host_map& hosts_;
    std::chrono::milliseconds reboot_time_;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> fences_;
    boost::json::array history_;
};

} // namespace dandeliontack::standins
